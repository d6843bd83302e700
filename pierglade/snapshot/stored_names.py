"""Values that a stored snapshot calls by other names than the model.

Apart from `schema.py`, so that a node without a snapshot folder loads no encoder.
"""

from pierglade.model.request import Idempotency

# What a stored file calls the idempotency of a request class.
STORED_IDEMPOTENCY = {
    Idempotency.SAFE: "harmless",
    Idempotency.KEYED: "stamped",
    Idempotency.UNSAFE: "one-shot",
}
