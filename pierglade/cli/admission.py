"""`pierglade admission top`: whom a node turns away, and what share it refuses for want of its core."""

import http.client
import json

import click

from pierglade.cli import UNSURE, fail

ASK_S = 2.0  # s; a node answers operators within 1 s under any load


def told_by(address):
    """What the node whose operators' address this is says of its admission."""
    from pierglade.config.read import is_address

    if not is_address(address):
        fail(f"--at: {address!r} stands there; allowed: host:port")
    host, _, port = address.rpartition(":")
    link = http.client.HTTPConnection(host, int(port), timeout=ASK_S)
    try:
        link.request("GET", "/admission")
        answer = link.getresponse()
        if answer.status != 200:
            fail(
                f"{address} answers {answer.status}: no operators' address of a node that knows the call",
                UNSURE,
            )
        return json.loads(answer.read())
    except (OSError, http.client.HTTPException, ValueError) as fault:
        fail(f"{address}: {fault}", UNSURE)
    finally:
        link.close()


@click.group(epilog="Example: pierglade admission top --at 127.0.0.1:8082")
def admission():
    """Who is let in, and who is not."""


@admission.command(epilog="Example: pierglade admission top --at 127.0.0.1:8082")
@click.option(
    "--at",
    "address",
    default="127.0.0.1:8082",
    show_default=True,
    help="The node's `management` address.",
)
@click.option("--json", "as_json", is_flag=True, help="What the node says, as it says it.")
def top(address, as_json):
    """The addresses that the node has turned away most, and what share it refuses as its core is short."""
    told = told_by(address)
    if as_json:
        click.echo(json.dumps(told))
        return
    click.echo(
        f"refused for want of the core: {told['refused_share']:.0%}; connections {told['open']} of "
        f"{told['sockets']}, clients {told['clients']}"
        + ("" if told["capped"] else "; no caps are set ([admission])")
    )
    for row in told["top"]:
        shut = f", shut out for {row['shut_out_s']:.0f} s" if row["shut_out_s"] else ""
        known = ", known" if row["known"] else ""
        click.echo(
            f"{row['address']:40} turned away {row['turned_away']:6}, open {row['open']:4}{known}{shut}"
        )
