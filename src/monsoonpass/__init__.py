"""Configuration distribution for a service mesh."""
