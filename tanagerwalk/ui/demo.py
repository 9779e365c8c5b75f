"""Command `demo`: serve sample requests from in-process stand-ins."""

import json

import click
import uvloop

from ..logs import configure_logs
from ..standins.entry_cluster import EntryCluster, build_demo
from ..standins.gateway_cluster import GatewayCluster


@click.command()
@click.option("--verbose", is_flag=True, help="Also print the logs.")
def demo(verbose):
    """Serve plans, labels and bookings in one process, using stand-ins."""
    configure_logs("info" if verbose else "error")
    uvloop.run(run_demo())
    uvloop.run(run_gateway_demo())


async def run_demo():
    """Send one request of each class through entry instances and print the results.

    The booking is sent to both instances with one idempotency key, to show that it
    runs only once.
    """
    async with EntryCluster() as cluster:
        await build_demo(cluster)
        first, second = cluster.instances.values()
        for work_class in ("label", "plan"):
            status, content, headers = await cluster.chat(
                first, work_class, "deed book"
            )
            answer = json.loads(content)["choices"][0]["message"]["content"]
            version = headers["X-Version"]
            click.echo(f"{work_class}: {status} from {version}: {answer[:40]}")
        key = {"Idempotency-Key": "slot-1"}
        for instance in (first, second):
            status, content, _ = await cluster.call(
                instance, "booking", {"slot": 1}, **key
            )
            name = instance.settings.instance.id
            click.echo(f"booking at {name}: {status} {content.decode()}")
        runs = len(cluster.services["booking-1"].runs)
        click.echo(f"bookings that ran: {runs}")


async def run_gateway_demo():
    """Send a plan, a booking and a lookup through a gateway; print the results."""
    async with GatewayCluster() as cluster:
        await cluster.build()
        for name, request in (
            ("plan", cluster.encode_plan()),
            ("booking", cluster.encode("POST", "/bookings/1", b"slot 1")),
            ("status", cluster.encode("GET", "/jobs/1")),
        ):
            reply = await cluster.send(request)
            whole = "whole" if reply.complete else "cut"
            size = len(reply.body)
            click.echo(f"gateway, {name}: {reply.status}, {whole}, {size} bytes")
