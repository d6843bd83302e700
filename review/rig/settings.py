"""Settings of a small deployment, in the form that the platform hands to a node."""


def offering(name: str, idempotency: str, **changes) -> dict:
    """Returns one row of `offerings`."""
    return {
        "name": name,
        "idempotency": idempotency,
        "group": "all",
        "repeatWindowUs": 5000000,
        "expectedTimeUs": 1000000,
        "hardLimitUs": 5000000,
        "credit": 1,
        "lateCredit": 0.0,
        "stream": False,
    } | changes


def node_config(port: int, discovery: str, endpoints: list[dict], offerings: list[dict]) -> dict:
    """Returns the JSON document of one node; figures as in the example of the wire page."""
    return {
        "name": "n1",
        "listen": f"127.0.0.1:{port}",
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "sockets": 1024, "memory_mb": 192},
        "known": {"index": 1, "snapshot": True, "endpoints": endpoints},
        "settings": {
            "offerings": offerings,
            "customers": [{"name": "parish-schools", "quotaPerS": 100.0, "share": 1.0}],
            "limits": {
                "mostTrips": 3,
                "mayCancel": True,
                "probes": False,
                "peers": False,
                "retryAfter": False,
                "secondCopies": False,
                "streamsPerConn": 1,
                "connectTimeoutUs": 200000,
                "connIdleUs": 10000000,
                "maxOpen": 25101,
                "maxRetryAfterUs": 2000000,
            },
            "contract": {
                "answerSlackUs": 20000,
                "drainGraceUs": 500000,
                "coldUs": 8700000,
                "startCapacity": 0.36,
                "tipMultiple": 3.0,
                "fallUs": 2000000,
            },
            "loadInfo": {"fields": [], "via": "silent"},
            "membershipMode": "push",
            "overageCredit": 0.05,
            "weightKind": "nominal",
            "kinds": ["std"],
            "localities": ["a"],
            "siblings": 1,
            "me": 0,
            "zone": "a",
        },
    }
