"""The sections and options of an environment's document."""

from .declaration import Option, SectionDeclaration

FORMAT = 1

_HASH_OPTIONS = (
    Option(
        "salt", "hex", "Salt of the hashed secret.", low=32, high=32, is_hidden=True
    ),
    Option(
        "digest", "hex", "SHA-256 of salt and secret.", low=64, high=64, is_hidden=True
    ),
)

DOCUMENT_DECLARATIONS: tuple[SectionDeclaration, ...] = (
    SectionDeclaration(
        "catkinport",
        "Format and description of the document.",
        (
            Option("format", "whole", "Version of this format.", low=1, high=FORMAT),
            Option(
                "description",
                "text",
                "Free text for readers of the document.",
                default="",
                high=200,
            ),
        ),
        is_required=True,
    ),
    SectionDeclaration(
        "team",
        "A team, its share and its upper limits.",
        (
            Option(
                "weight",
                "number",
                "Share of the fleet when it is fully used, relative to other teams.",
                default="1",
                low=0.01,
                high=1000,
            ),
            Option(
                "max_slots",
                "whole",
                "Upper limit on backend server slots held at once.",
                low=0,
                high=1000000,
                unit="slots",
            ),
            Option(
                "max_cores",
                "whole",
                "Upper limit on worker processors used at once.",
                low=0,
                high=1000000,
                unit="cores",
            ),
        ),
        is_named=True,
        is_required=True,
        max_count=200,
    ),
    SectionDeclaration(
        "account",
        "A client account of a team.",
        (Option("team", "name", "Team of the account.", refers_to="team"),),
        is_named=True,
        max_count=2000,
    ),
    SectionDeclaration(
        "operator",
        "An operator's key for the administration API. At least one is required, so"
        " that the next change can be made.",
        _HASH_OPTIONS,
        is_named=True,
        is_required=True,
        max_count=200,
    ),
    SectionDeclaration(
        "key",
        "A caller's key, granted and withdrawn with `catkinctl key`.",
        (
            Option("account", "name", "Account of the key.", refers_to="account"),
            *_HASH_OPTIONS,
        ),
        is_named=True,
        max_count=4000,
    ),
    SectionDeclaration(
        "service",
        "A service whose backend servers run on the VMs of a pool.",
        (
            Option("pool", "name", "Pool of its backend servers.", refers_to="pool"),
            Option(
                "slots",
                "whole",
                "Slots of each backend server.",
                default="8",
                low=1,
                high=1024,
                unit="slots",
            ),
            Option(
                "connections",
                "whole",
                "Connections that each backend server accepts.",
                default="60",
                low=1,
                high=10000,
                unit="connections",
            ),
            Option(
                "max_request_seconds",
                "number",
                "Longest deadline of a request.",
                default="60",
                low=0.1,
                high=86400,
                unit="seconds",
            ),
            Option(
                "max_waiting",
                "whole",
                "Largest number of requests that wait for a slot at each entry.",
                default="200",
                low=0,
                high=100000,
                unit="requests",
            ),
            Option(
                "progress_seconds",
                "number",
                "Longest time without data on a connection before it is replaced.",
                default="10",
                low=0.1,
                high=3600,
                unit="seconds",
            ),
        ),
        is_named=True,
        max_count=200,
    ),
    SectionDeclaration(
        "queue",
        "A queue that accepts requests and jobs. It needs a service, a pool or both.",
        (
            Option(
                "access",
                "choice",
                "Whether requests and jobs need a key.",
                default="keyed",
                choices=("keyed", "open"),
            ),
            Option(
                "priority",
                "choice",
                "Urgent work is scheduled before long work.",
                default="long",
                choices=("urgent", "long"),
            ),
            Option(
                "service",
                "name",
                "Service that answers its requests.",
                default="",
                refers_to="service",
            ),
            Option(
                "pool",
                "name",
                "Pool whose workers run its jobs.",
                default="",
                refers_to="pool",
            ),
            Option(
                "teams",
                "names",
                "Teams that may use it; empty for all.",
                default="",
                refers_to="team",
            ),
            Option(
                "open_team",
                "name",
                "Team whose limits apply to work without a key; open queues only.",
                default="",
                refers_to="team",
            ),
        ),
        is_named=True,
        max_count=1000,
    ),
    SectionDeclaration(
        "pool",
        "A pool of VMs. At least one pool is a spare pool.",
        (
            Option(
                "max_unavailable",
                "whole",
                "Availability budget: VMs that may be unavailable at once.",
                default="1",
                low=0,
                high=10000,
                unit="VMs",
            ),
            Option(
                "spare",
                "boolean",
                "Whether it holds spare VMs for failures, maintenance and load peaks.",
                default="no",
            ),
            Option(
                "min_vms",
                "whole",
                "Number of VMs below which moves never take the pool.",
                default="1",
                low=0,
                high=10000,
                unit="VMs",
            ),
        ),
        is_named=True,
        is_required=True,
        max_count=200,
    ),
    SectionDeclaration(
        "maintenance",
        "How VMs are maintained.",
        (
            Option(
                "period_days",
                "number",
                "Every VM is maintained once in this time.",
                default="56",
                low=1,
                high=3650,
                unit="days",
            ),
            Option(
                "drain_seconds",
                "number",
                "Longest wait for the work of a VM to end or move.",
                default="900",
                low=1,
                high=604800,
                unit="seconds",
            ),
            Option(
                "reboot_seconds",
                "number",
                "Longest wait for a VM to come back after its reboot.",
                default="600",
                low=1,
                high=86400,
                unit="seconds",
            ),
        ),
    ),
    SectionDeclaration(
        "limits",
        "Bounds on the rest of the document. They reject mistyped values, such as"
        " one with an extra zero, before they take effect.",
        (
            Option(
                "max_slots_per_team",
                "whole",
                "Highest max_slots of any team.",
                default="10000",
                low=1,
                high=1000000,
                unit="slots",
            ),
            Option(
                "max_cores_per_team",
                "whole",
                "Highest max_cores of any team.",
                default="100000",
                low=1,
                high=1000000,
                unit="cores",
            ),
            Option(
                "max_reserved_vms",
                "whole",
                "Highest sum of min_vms over all pools.",
                default="2000",
                low=1,
                high=100000,
                unit="VMs",
            ),
        ),
    ),
)
