"""A document shared by several test modules."""

DOCUMENT = f"""\
# A small environment.
[catkinport]
format = 1

[team blue]
weight = 2
max_slots = 40
max_cores = 400

[team green]
max_slots = 10
max_cores = 100

# Accounts belong to teams.
[account blue-web]
team = blue

[operator ana]
salt = {"0a" * 16}
digest = {"0b" * 32}

[key blue-1]
account = blue-web
salt = {"0c" * 16}
digest = {"0d" * 32}

[pool captions]
max_unavailable = 2
min_vms = 4

[pool spare]
spare = yes

[service captions]
pool = captions

[queue captions-quick]
priority = urgent
service = captions
teams = blue, green

[queue captions-open]
access = open
pool = captions
open_team = green
"""
