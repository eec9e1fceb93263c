"""The environment's document and the settings of a process, with their validation.

An environment is a set of daemons that share one store. Its document, one INI text in
that store, holds what they have in common, such as teams, queues, pools and keys. The
settings of a process are a file of its own.
"""
