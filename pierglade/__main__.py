"""`python -m pierglade`: runs one proxy node, configured by environment variables."""

import gc
import os
import signal
import sys
from collections.abc import Callable, Generator, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pierglade.errors import PiergladeError
from pierglade.reconfiguration import document_reader
from pierglade.settings.balancer import BalancerSettings
from pierglade.settings.platform import InvalidSettingsError, settings_from
from pierglade.settings.validation import missing_key

if TYPE_CHECKING:
    from pierglade.admission.connection_admission import ConnectionLimits
    from pierglade.proxy.logging import Log

DEFAULT_MAX_SOCKETS = 1024  # file descriptors, where no limit is configured
DEFAULT_MEMORY_MB = 192  # used where no limit is configured
# Net allocations before a garbage collection. Collections cost CPU time and free hardly any memory
# in a node.
GC_THRESHOLD = 10000


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
    document: dict  # the JSON document, without its customers and the initial endpoint list
    management: str | None = None  # host:port of the management address; None: there is none
    memory_mb: int = DEFAULT_MEMORY_MB
    assigns_trace_ids: bool = False  # whether requests without a trace id are assigned one
    caps: "ConnectionLimits | None" = None  # limits on client connections; None: no limits
    # Arguments of SnapshotSettings: folder, period in s, half-life in s, maximum size in MB. None:
    # no snapshots are written.
    snapshot_settings: tuple | None = None
    log: "Callable[[int, str], Log] | None" = None  # creates the log; None: the default `Log`


class UnusableConfigError(PiergladeError, ValueError):
    """The configuration cannot be used; the message is one line."""


def run_to_end(steps: Generator) -> object:
    """Runs a generator to its end and returns its return value."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return stop.value


def config_from_environ(environ: Mapping[str, str]) -> NodeConfig:
    """Reads the configuration file that $BALANCER_CONFIG names.

    Other environment variables override single values of the file.

    Raises:
        UnusableConfigError: the configuration cannot be used.
    """
    return run_to_end(_config_steps(environ))


def _config_steps(environ, known=True):
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise UnusableConfigError("BALANCER_CONFIG is not set; it must name the configuration file")
    return (yield from config_at(path, environ, known))


def config_at(path: str, environ: Mapping[str, str], known: bool = True) -> Generator:
    """Reads the JSON document at `path` in steps; the generator returns a NodeConfig.

    `known`: whether the initial endpoint list is read too.

    Raises:
        UnusableConfigError: the configuration cannot be used.
    """
    try:
        with open(path, "rb") as file:
            text = file.read()
        document, quotas = yield from document_reader.read_document(text, known)
    except OSError as error:
        raise UnusableConfigError(f"{path} cannot be read: {error.strerror}") from None
    except InvalidSettingsError as error:
        raise UnusableConfigError(f"{path}: {error}") from None
    except ValueError as error:
        raise UnusableConfigError(f"{path} is not valid JSON: {error}") from None
    if not isinstance(document, dict):
        raise UnusableConfigError(
            f"{path} holds a JSON value of type {type(document).__name__}; expected an object"
        )
    return config_from_document(document, path, environ, quotas=quotas)


def config_from_document(
    document: dict,
    path: str,
    environ: Mapping[str, str],
    fixed: bool = False,
    quotas: dict | None = None,
) -> NodeConfig:
    """Creates a NodeConfig from the `document` in the file at `path`.

    `fixed`: discovery may be missing, as in an operator's own file; the initial list then stays.
    `quotas`: the quotas of the document's customers, where these were removed from it.

    Raises:
        UnusableConfigError: the configuration cannot be used.
    """
    try:
        if quotas is None:
            document = document_reader.without_customers(document, quotas := {})
        limits = document.get("limits") or {}
        config = NodeConfig(
            name=environ.get("BALANCER_NAME") or document["name"],
            listen=environ.get("BALANCER_LISTEN") or document["listen"],
            discovery=_discovery_address(document, environ, fixed),
            seed=document["seed"],
            sockets=int(limits.get("sockets") or DEFAULT_MAX_SOCKETS),
            memory_mb=int(limits.get("memory_mb") or DEFAULT_MEMORY_MB),
            known=document.get("known") or {},
            settings=settings_from(document["settings"], quotas),
            # The document is stored as long as the node runs, so its large parts are removed.
            document={**document, "known": {}} if document.get("known") is not None else document,
            management=environ.get("BALANCER_MANAGEMENT") or document.get("management"),
        )
    except InvalidSettingsError as error:
        raise UnusableConfigError(f"{path}: {error}") from None
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise UnusableConfigError(
            f"{path}: missing or malformed value: {type(error).__name__}: {error}"
        ) from None
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
            raise UnusableConfigError(
                f"{path}: address {address!r} is malformed; expected host:port with a valid port"
            )
    if not fixed and config.discovery is None:
        raise UnusableConfigError(f"{path}: discovery is null; expected host:port")
    if not isinstance(config.seed, (str, int)):
        raise UnusableConfigError(
            f"{path}: seed is {config.seed!r}; expected a string or a whole number"
        )


def reloaded_config(initial: NodeConfig) -> NodeConfig:
    """Reads the file again; its discovery address overrides the environment's.

    Raises:
        UnusableConfigError: the configuration cannot be used, or lacks a key that `initial`, the
            configuration that the node started with, has.
    """
    return run_to_end(reload_steps(initial))


def reload_steps(initial: NodeConfig) -> Generator:
    """Does the same as `reloaded_config` in steps, between which the node serves requests.

    The initial endpoint list is not read.
    """
    config = yield from _config_steps({**os.environ, "BALANCER_DISCOVERY": ""}, known=False)
    missing = missing_key(config.document, initial.document)
    if missing:
        raise UnusableConfigError(
            f"{os.environ['BALANCER_CONFIG']}: {missing} is missing, but was set at the start"
        )
    return config


def main() -> int:
    """Runs one node, configured by the environment; returns the exit status."""
    return run(lambda: config_from_environ(os.environ), reload_steps)


def run(
    load_config: Callable[[], NodeConfig], reload_config: Callable[[NodeConfig], object]
) -> int:
    """Serves with the configuration that `load_config` returns; returns the exit status.

    `reload_config`: called at SIGHUP; returns the new configuration, or a generator that does.
    """
    # Signals that arrive during the start must neither end the process nor be lost, as the file may
    # have been read before a SIGHUP. They are handled once the node serves.
    early_signals = []
    for signal_number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda received, _: early_signals.append(received))
    try:
        config = load_config()
        # Imported late, so that an unusable configuration is reported before the server is loaded.
        from pierglade.proxy.server import ProxyServer

        try:
            server = ProxyServer(config)
        except OSError as error:
            where = getattr(error, "filename", None) or config.listen
            raise UnusableConfigError(f"cannot listen on {where}: {error.strerror}") from None
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise UnusableConfigError(
                f"the initial endpoint list (known) cannot be used: {type(error).__name__}: {error}"
            ) from None
    except UnusableConfigError as error:
        print(f"pierglade: {error}", file=sys.stderr)
        return 2
    config.known = {}  # The server has loaded the endpoint list.
    gc.freeze()  # Loaded modules stay in memory; collections need not visit their objects.
    gc.set_threshold(GC_THRESHOLD, 20, 20)
    return server.run(lambda: reload_config(config), early_signals)


if __name__ == "__main__":
    sys.exit(main())
