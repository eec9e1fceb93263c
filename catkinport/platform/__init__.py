"""Runs catkinport on the users' platform.

Only this folder knows the platform's names. It decodes each message once into the types
of `ports` and `jobs`, and encodes what goes out.
"""
