"""Descriptions of deployments: hosts, endpoints, adapters, traffic.

They are TOML files; ``deployments/`` holds the two of the users.  The
demo and the bench build their documents and settings from them.
"""

import dataclasses
import importlib.resources
import tomllib

from coltsfootsail import _document
from coltsfootsail import _schema
from coltsfootsail import _settings
from coltsfootsail import exceptions


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """A kind of request and its adapters.

    :param adapters: how many; names are the prefix and a number.
    :param priority: its priority class.
    :param prompt: text of a sample request.
    """

    prefix: str
    adapters: int
    priority: str
    prompt: str
    base: str
    team: str
    tokens: int = 32
    stream: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A kind of call to a plain service."""

    service: str
    method: str
    path: str
    body: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Where a system runs and what it serves."""

    name: str
    region: str
    data_centres: tuple[str, ...]
    hosts: int
    engines: int
    engine_slots: int
    engine_batch: int
    engine_fencing: bool
    service: str
    service_prefix: str
    service_instances: int
    idempotent_paths: tuple[str, ...]
    weight_store_loads_per_s: float
    caller_latency_s: float
    groups: tuple[Group, ...]
    calls: tuple[Call, ...]
    classes: dict[str, _document.PriorityClass]


def names():
    """List the deployments that come with the program."""
    folder = importlib.resources.files("coltsfootsail") / "deployments"
    return sorted(
        entry.name.removesuffix(".toml")
        for entry in folder.iterdir()
        if entry.name.endswith(".toml")
    )


def load(name):
    """Read a deployment that comes with the program.

    :raises SettingsError: if there is none of this name, or it is wrong.
    """
    if name not in names():
        known = ", ".join(names())
        problem = _schema.Problem("deployment", repr(name), known)
        raise exceptions.SettingsError([problem])
    folder = importlib.resources.files("coltsfootsail") / "deployments"
    text = (folder / f"{name}.toml").read_text(encoding="utf-8")
    found, problems = _schema.structure(tomllib.loads(text), Deployment)
    if problems:
        raise exceptions.SettingsError(problems)
    return found


def host_names(deployment):
    """Name the entry hosts.

    :returns: dict of name to data centre.
    """
    centres = deployment.data_centres
    return {
        f"entry-{number}": centres[number % len(centres)]
        for number in range(deployment.hosts)
    }


def adapter_names(group):
    """Name the adapters of a group."""
    return [f"{group.prefix}-{number:04d}" for number in range(group.adapters)]


def document(deployment, addresses):
    """Build a deployment's document.

    :param addresses: dict of endpoint name to ``ip:port``.
    :returns: a ``Document``.
    """
    adapters = {
        name: _document.Adapter(
            base=group.base,
            versions=("v1", "v2"),
            pin="v2",
            priority=group.priority,
            team=group.team,
        )
        for group in deployment.groups
        for name in adapter_names(group)
    }
    teams = sorted({group.team for group in deployment.groups})
    return _document.Document(
        adapters=adapters,
        classes=dict(deployment.classes),
        services={
            deployment.service: _document.Service(
                prefix=deployment.service_prefix,
                idempotent_paths=deployment.idempotent_paths,
            )
        },
        endpoints={
            **_engine_entries(deployment, addresses),
            **_service_entries(deployment, addresses),
        },
        teams={team: _document.Team(may_drain=True) for team in teams},
    )


def engine_names(deployment):
    """Name the model engines."""
    return [f"engine-{number}" for number in range(deployment.engines)]


def service_names(deployment):
    """Name the instances of the plain service."""
    return [
        f"{deployment.service}-{number}"
        for number in range(deployment.service_instances)
    ]


def _engine_entries(deployment, addresses):
    centres = deployment.data_centres
    return {
        name: _document.Endpoint(
            kind=_document.EndpointKind.ENGINE,
            address=addresses[name],
            data_centre=centres[number % len(centres)],
            host=f"host-{name}",
            slots=deployment.engine_slots,
            batch=deployment.engine_batch,
            fencing=deployment.engine_fencing,
        )
        for number, name in enumerate(engine_names(deployment))
    }


def _service_entries(deployment, addresses):
    centres = deployment.data_centres
    return {
        name: _document.Endpoint(
            kind=_document.EndpointKind.SERVICE,
            address=addresses[name],
            data_centre=centres[number % len(centres)],
            host=f"host-{name}",
            service=deployment.service,
        )
        for number, name in enumerate(service_names(deployment))
    }


def settings(deployment, host, addresses, kv_address, host_list_address):
    """Build the settings of a node.

    :param host: name of its entry host.
    :param addresses: the caller, peer and admin addresses.
    :returns: ``Settings``.
    """
    caller, peer, admin = addresses
    return _settings.Settings(
        node=_settings.NodeSettings(
            name=host,
            region=deployment.region,
            data_centre=host_names(deployment)[host],
            caller_address=caller,
            peer_address=peer,
            admin_address=admin,
        ),
        platform=_settings.PlatformSettings(
            kv_addresses=(kv_address,),
            host_list_address=host_list_address,
            weight_store_loads_per_s=deployment.weight_store_loads_per_s,
        ),
    )
