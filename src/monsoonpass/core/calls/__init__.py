"""Calls: placed, admitted, tried again and judged."""
