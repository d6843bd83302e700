"""`python -m pierglade`: one node on sockets, told by its environment where it stands."""

import gc
import os
import signal
import sys
from dataclasses import dataclass

from pierglade.reconfiguration import document_reader as reading
from pierglade.settings.balancer import BalancerSettings
from pierglade.settings.platform import InvalidSettingsError, settings_from
from pierglade.settings.validation import missing_key

SOCKETS = 1024  # descriptors; where no limit is told
MEMORY = 192  # MB; likewise
GARBAGE = (
    10000  # objects more than before; next to nothing here is freed by collections, and each costs
)


@dataclass(slots=True)
class Place:
    """What a node is told at its start."""

    name: str
    listen: str
    discovery: str
    seed: str
    sockets: int
    known: dict
    settings: BalancerSettings
    told: dict  # the file itself, without its customers and the list that is known
    management: str | None = None  # where operators call; None: nowhere
    memory_mb: int = MEMORY
    gives_ids: bool = False  # to requests that bring none
    caps: object = None  # an admission.gate.Caps; None: anybody may connect
    keeping: tuple | None = None  # folder, period s, half-life s, most MB; None: nothing is kept
    log: object = None  # makes the log, of a descriptor and the name; None: the usual one


class Unusable(ValueError):
    """What was told is not enough to start on."""


def through(steps):
    """What a generator returns at the end of its steps."""
    while True:
        try:
            next(steps)
        except StopIteration as over:
            return over.value


def place_from(environ):
    """The configuration file, with what the environment says besides."""
    return through(_place_steps(environ))


def _place_steps(environ, known=True):
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise Unusable("BALANCER_CONFIG is not set")
    return (yield from place_at(path, environ, known))


def place_at(path, environ, known=True):
    """The Place of the JSON document at `path`, in steps; without the list that is `known`, if so told."""
    try:
        with open(path, "rb") as file:
            text = file.read()
        told, shares = yield from reading.steps(text, known)
    except OSError as fault:
        raise Unusable(f"{path} cannot be read: {fault.strerror}") from None
    except InvalidSettingsError as fault:
        raise Unusable(f"{path}: {fault}") from None
    except ValueError as fault:
        raise Unusable(f"{path} is no JSON: {fault}") from None
    if not isinstance(told, dict):
        raise Unusable(f"{path} holds no object")
    return place_of(told, path, environ, shares=shares)


def place_of(told, path, environ, fixed=False, shares=None):
    """A Place from the document `told` of the file at `path`; raises Unusable.

    `fixed`: without a discovery its known list stands, as an operator's own file may say. `shares`: of its
    customers, where these were taken out of it.
    """
    try:
        if shares is None:
            told = reading.without_customers(told, shares := {})
        limits = told.get("limits") or {}
        place = Place(
            name=environ.get("BALANCER_NAME") or told["name"],
            listen=environ.get("BALANCER_LISTEN") or told["listen"],
            discovery=(
                environ.get("BALANCER_DISCOVERY")
                or (told.get("discovery") if fixed else told["discovery"])
            ),
            seed=told["seed"],
            sockets=int(limits.get("sockets") or SOCKETS),
            memory_mb=int(limits.get("memory_mb") or MEMORY),
            known=told.get("known") or {},
            settings=settings_from(told["settings"], shares),
            # Kept for as long as the node runs; what is large of it is known elsewhere.
            told={**told, "known": {}} if told.get("known") is not None else told,
            management=environ.get("BALANCER_MANAGEMENT") or told.get("management"),
        )
    except InvalidSettingsError as fault:
        raise Unusable(f"{path}: {fault}") from None
    except (KeyError, TypeError, ValueError, AttributeError) as fault:
        raise Unusable(f"{path}: {type(fault).__name__}: {fault}") from None
    for address in (place.listen, place.discovery, place.management):
        if address is None:
            continue
        host, _, port = str(address).rpartition(":")
        if not host or not port.isdigit() or int(port) > 65535:
            raise Unusable(f"{address!r} is no host:port")
    if not fixed and place.discovery is None:
        raise Unusable(f"{path}: discovery is no host:port")
    if not isinstance(place.seed, (str, int)):
        raise Unusable(f"{path}: the seed is neither text nor a number")
    return place


def place_again(first):
    """The configuration file as it is now; what it says of discovery wins over what the start was told."""
    return through(steps_again(first))


def steps_again(first):
    """The same in steps, between which a node may go on; returns the Place. The known list is not read."""
    place = yield from _place_steps({**os.environ, "BALANCER_DISCOVERY": ""}, known=False)
    missing = missing_key(place.told, first.told)
    if missing:
        raise Unusable(
            f"{os.environ['BALANCER_CONFIG']}: {missing} is missing, which it had at the start"
        )
    return place


def main():
    return run(lambda: place_from(os.environ), steps_again)


def run(first, again):
    """Serves under the Place of `first()`; at SIGHUP `again(place)` gives the new one, or the steps to it.

    Returns the exit status.
    """
    # What is told during the start must neither end it nor be lost: the file was read before or after it.
    early = []
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda told, _: early.append(told))
    try:
        place = first()
        # Imported late, so that a bad configuration is told with nothing else loaded.
        from pierglade.proxy.server import Host

        try:
            host = Host(place)
        except OSError as fault:
            where = getattr(fault, "filename", None) or place.listen
            raise Unusable(f"cannot listen on {where}: {fault.strerror}") from None
        except (KeyError, TypeError, ValueError, AttributeError) as fault:
            raise Unusable(
                f"the known list cannot be used: {type(fault).__name__}: {fault}"
            ) from None
    except Unusable as fault:
        print(f"pierglade: {fault}", file=sys.stderr)
        return 2
    place.known = {}  # The host has what it needs of it.
    gc.freeze()  # What is loaded stays; collections need not look at it again.
    gc.set_threshold(GARBAGE, 20, 20)
    return host.run(lambda: again(place), early)


if __name__ == "__main__":
    sys.exit(main())
