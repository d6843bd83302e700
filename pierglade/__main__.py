"""`python -m pierglade`: one node on sockets, configured by its environment."""

import gc
import os
import signal
import sys
from collections.abc import Callable, Generator, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pierglade.errors import PiergladeError
from pierglade.reconfiguration import document_reader as reading
from pierglade.settings.balancer import BalancerSettings
from pierglade.settings.platform import InvalidSettingsError, settings_from
from pierglade.settings.validation import missing_key

if TYPE_CHECKING:
    from pierglade.admission.connection_admission import ConnectionLimits
    from pierglade.proxy.logging import Log

SOCKETS = 1024  # descriptors; where no limit is configured
MEMORY = 192  # MB; likewise
# objects more than before; collections free next to nothing here, and each costs
GARBAGE = 10000


@dataclass(slots=True)
class NodeConfig:
    """The configuration of one node process."""

    name: str
    listen: str
    discovery: str
    seed: str
    sockets: int
    known: dict
    settings: BalancerSettings
    document: dict  # the document itself, without its customers and the initial endpoint list
    management: str | None = None  # host:port of the management address; None: there is none
    memory_mb: int = MEMORY
    gives_ids: bool = False  # assigns a trace id to requests that have none
    caps: "ConnectionLimits | None" = None  # None: no limits
    keeping: tuple | None = None  # folder, period s, half-life s, most MB; None: no snapshots
    log: "Callable[[int, str], Log] | None" = None  # makes the log; None: the default one


class UnusableConfigError(PiergladeError, ValueError):
    """The configuration cannot be used; the text is one line."""


def through(steps: Generator) -> object:
    """Runs a generator to its end and returns its result."""
    while True:
        try:
            next(steps)
        except StopIteration as over:
            return over.value


def config_from_environ(environ: Mapping[str, str]) -> NodeConfig:
    """Reads the file that $BALANCER_CONFIG names; other variables override it.

    Raises:
        UnusableConfigError: it cannot be used.
    """
    return through(_config_steps(environ))


def _config_steps(environ, known=True):
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise UnusableConfigError("BALANCER_CONFIG is not set")
    return (yield from config_at(path, environ, known))


def config_at(path: str, environ: Mapping[str, str], known: bool = True) -> Generator:
    """Reads the JSON document at `path` in steps; the generator returns a NodeConfig.

    `known`: whether the initial endpoint list is read too.

    Raises:
        UnusableConfigError: it cannot be used.
    """
    try:
        with open(path, "rb") as file:
            text = file.read()
        document, shares = yield from reading.steps(text, known)
    except OSError as fault:
        raise UnusableConfigError(f"{path} cannot be read: {fault.strerror}") from None
    except InvalidSettingsError as fault:
        raise UnusableConfigError(f"{path}: {fault}") from None
    except ValueError as fault:
        raise UnusableConfigError(f"{path} is no JSON: {fault}") from None
    if not isinstance(document, dict):
        raise UnusableConfigError(f"{path} holds no object")
    return config_from_document(document, path, environ, shares=shares)


def config_from_document(
    document: dict,
    path: str,
    environ: Mapping[str, str],
    fixed: bool = False,
    shares: dict | None = None,
) -> NodeConfig:
    """Makes a NodeConfig of the `document` in the file at `path`.

    `fixed`: discovery may be missing, as an operator's own file may say; the initial list stays.
    `shares`: the quotas of its customers, where these were taken out of it.

    Raises:
        UnusableConfigError: it cannot be used.
    """
    try:
        if shares is None:
            document = reading.without_customers(document, shares := {})
        limits = document.get("limits") or {}
        config = NodeConfig(
            name=environ.get("BALANCER_NAME") or document["name"],
            listen=environ.get("BALANCER_LISTEN") or document["listen"],
            discovery=_discovery_address(document, environ, fixed),
            seed=document["seed"],
            sockets=int(limits.get("sockets") or SOCKETS),
            memory_mb=int(limits.get("memory_mb") or MEMORY),
            known=document.get("known") or {},
            settings=settings_from(document["settings"], shares),
            # Kept for as long as the node runs, without its large parts.
            document={**document, "known": {}} if document.get("known") is not None else document,
            management=environ.get("BALANCER_MANAGEMENT") or document.get("management"),
        )
    except InvalidSettingsError as fault:
        raise UnusableConfigError(f"{path}: {fault}") from None
    except (KeyError, TypeError, ValueError, AttributeError) as fault:
        raise UnusableConfigError(f"{path}: {type(fault).__name__}: {fault}") from None
    _check(config, path, fixed)
    return config


def _discovery_address(document, environ, fixed):
    return environ.get("BALANCER_DISCOVERY") or (
        document.get("discovery") if fixed else document["discovery"]
    )


def _check(config, path, fixed):
    for address in (config.listen, config.discovery, config.management):
        if address is None:
            continue
        host, _, port = str(address).rpartition(":")
        if not host or not port.isdigit() or int(port) > 65535:
            raise UnusableConfigError(f"{address!r} is no host:port")
    if not fixed and config.discovery is None:
        raise UnusableConfigError(f"{path}: discovery is no host:port")
    if not isinstance(config.seed, (str, int)):
        raise UnusableConfigError(f"{path}: the seed is neither text nor a number")


def reloaded_config(first: NodeConfig) -> NodeConfig:
    """Reads the file again; its discovery address overrides the environment's.

    Raises:
        UnusableConfigError: it cannot be used, or lacks what `first` had.
    """
    return through(reload_steps(first))


def reload_steps(first: NodeConfig) -> Generator:
    """Does the same in steps, between which a node may serve; the initial list is not read."""
    config = yield from _config_steps({**os.environ, "BALANCER_DISCOVERY": ""}, known=False)
    missing = missing_key(config.document, first.document)
    if missing:
        raise UnusableConfigError(
            f"{os.environ['BALANCER_CONFIG']}: {missing} is missing, which it had at the start"
        )
    return config


def main() -> int:
    """Runs one node by the environment; returns the exit status."""
    return run(lambda: config_from_environ(os.environ), reload_steps)


def run(first: Callable[[], NodeConfig], again: Callable[[NodeConfig], object]) -> int:
    """Serves with the configuration of `first()`; returns the exit status.

    `again`: at SIGHUP, returns the new configuration, or a generator that does.
    """
    # Signals during the start must neither end it nor be lost: the file was read before or after.
    early = []
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda received, _: early.append(received))
    try:
        config = first()
        # Imported late, so that a bad configuration is reported with nothing else loaded.
        from pierglade.proxy.server import ProxyServer

        try:
            server = ProxyServer(config)
        except OSError as fault:
            where = getattr(fault, "filename", None) or config.listen
            raise UnusableConfigError(f"cannot listen on {where}: {fault.strerror}") from None
        except (KeyError, TypeError, ValueError, AttributeError) as fault:
            raise UnusableConfigError(
                f"the known list cannot be used: {type(fault).__name__}: {fault}"
            ) from None
    except UnusableConfigError as fault:
        print(f"pierglade: {fault}", file=sys.stderr)
        return 2
    config.known = {}  # The server has what it needs of it.
    gc.freeze()  # What is loaded stays; collections need not visit it again.
    gc.set_threshold(GARBAGE, 20, 20)
    return server.run(lambda: again(config), early)


if __name__ == "__main__":
    sys.exit(main())
