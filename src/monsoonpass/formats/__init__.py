"""Validation of external input: settings, operator texts, frames, files."""
