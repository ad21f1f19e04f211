"""Starts a node on the users' platform, which names the settings file.

The files in the folder `deploy` map the platform's names of fields, calls and
headers, so no translation is needed here.
"""
