"""Validation of everything that enters: settings, texts, frames, files."""
