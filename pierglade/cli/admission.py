"""`pierglade admission top`: the clients that a node rejects, and the fraction it sheds under CPU overload."""

import http.client
import json

import click

from pierglade.cli import UNRELIABLE, fail

REQUEST_TIMEOUT_S = 2.0  # a node answers on its management address within 1 s under any load


def fetch_admission(address):
    """Returns the admission state reported by the node with this management address."""
    from pierglade.config.read import is_address

    if not is_address(address):
        fail(f"--at is {address!r}; expected host:port")
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=REQUEST_TIMEOUT_S)
    try:
        connection.request("GET", "/admission")
        response = connection.getresponse()
        if response.status != 200:
            fail(
                f"GET /admission at {address} returned status {response.status}; expected 200 from the "
                "management address of a node that supports this call",
                UNRELIABLE,
            )
        return json.loads(response.read())
    except (OSError, http.client.HTTPException, ValueError) as error:
        fail(f"GET /admission at {address} failed: {error}", UNRELIABLE)
    finally:
        connection.close()


@click.group(epilog="Example: pierglade admission top --at 127.0.0.1:8082")
def admission():
    """Shows which clients a node rejects."""


@admission.command(epilog="Example: pierglade admission top --at 127.0.0.1:8082")
@click.option(
    "--at",
    "address",
    default="127.0.0.1:8082",
    show_default=True,
    help="The node's `management` address.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the node's JSON reply.")
def top(address, as_json):
    """Lists the client addresses rejected most often, and the fraction of requests shed under CPU overload."""
    state = fetch_admission(address)
    if as_json:
        click.echo(json.dumps(state))
        return
    click.echo(
        f"shed under CPU overload: {state['refused_share']:.0%}; connections {state['open']} of "
        f"{state['sockets']}, clients {state['clients']}"
        + ("" if state["capped"] else "; no limits are set ([admission])")
    )
    for row in state["top"]:
        blocked = f", blocked for {row['shut_out_s']:.0f} s" if row["shut_out_s"] else ""
        known = ", known" if row["known"] else ""
        click.echo(
            f"{row['address']:40} rejected {row['turned_away']:6}, open {row['open']:4}{known}{blocked}"
        )
