"""Adapter that runs catkinport on the users' platform.

Only this package uses the names of the platform's messages. It decodes each incoming
message once into the types of `ports` and `jobs`, and encodes outgoing ones.
"""
