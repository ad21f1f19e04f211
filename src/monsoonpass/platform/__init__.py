"""The users' platform: where its processes find their settings.

Names of fields, calls and headers are mapped in the folder `deploy`, so that
nothing else is left to translate here.
"""
