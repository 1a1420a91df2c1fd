"""Descriptions of deployments: hosts, endpoints, adapters and traffic.

They are TOML files; ``deployments/`` contains those of the two users.
The demo and the benchmarks create their configuration documents and
settings from them.
"""

import dataclasses
import importlib.resources
import tomllib

from coltsfootsail import _document
from coltsfootsail import _schema
from coltsfootsail import _settings
from coltsfootsail import exceptions


@dataclasses.dataclass(frozen=True, slots=True)
class AdapterGroup:
    """Adapters that serve the same kind of request.

    :param prefix: beginning of the adapters' names.
    :param adapters: number of adapters.
    :param priority: name of their priority class.
    :param prompt: prompt of a sample request.
    :param base: name of their base model.
    :param team: the team that owns them.
    :param tokens: ``max_tokens`` of a sample request.
    :param stream: whether a sample request asks for a stream.
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
class ServiceCall:
    """A sample call to a plain service."""

    service: str
    method: str
    path: str
    body: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """The hosts and endpoints of a system, and the traffic that it serves.

    :param hosts: number of entry hosts.
    :param engines: number of model engines.
    :param engine_slots: number of adapters that an engine holds at once.
    :param engine_batch: number of requests that an engine runs at once.
    :param engine_fencing: whether the engines check fencing tokens.
    :param service: name of the plain service.
    :param service_prefix: beginning of the paths of its calls.
    :param service_instances: number of its instances.
    :param idempotent_paths: paths of the service, without the prefix,
        whose calls may be repeated.
    :param classes: dict of name to ``PriorityClass``.
    """

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
    groups: tuple[AdapterGroup, ...]
    calls: tuple[ServiceCall, ...]
    classes: dict[str, _document.PriorityClass]


def names():
    """List the names of the bundled deployments."""
    folder = importlib.resources.files("coltsfootsail") / "deployments"
    return sorted(
        entry.name.removesuffix(".toml")
        for entry in folder.iterdir()
        if entry.name.endswith(".toml")
    )


def load(name):
    """Read a bundled deployment.

    :raises SettingsError: if the name is unknown or the file is invalid.
    """
    if name not in names():
        known = ", ".join(names())
        problem = _schema.Problem("deployment", repr(name), known)
        raise exceptions.SettingsError([problem])
    folder = importlib.resources.files("coltsfootsail") / "deployments"
    text = (folder / f"{name}.toml").read_text(encoding="utf-8")
    deployment, problems = _schema.structure(tomllib.loads(text), Deployment)
    if problems:
        raise exceptions.SettingsError(problems)
    return deployment


def host_names(deployment):
    """List the entry hosts.

    :returns: dict of name to data centre.
    """
    data_centres = deployment.data_centres
    return {
        f"entry-{number}": data_centres[number % len(data_centres)]
        for number in range(deployment.hosts)
    }


def adapter_names(group):
    """List the adapter names of a group."""
    return [f"{group.prefix}-{number:04d}" for number in range(group.adapters)]


def document(deployment, addresses):
    """Create the configuration document of a deployment.

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
    """List the names of the model engines."""
    return [f"engine-{number}" for number in range(deployment.engines)]


def service_names(deployment):
    """List the names of the plain service's instances."""
    return [
        f"{deployment.service}-{number}"
        for number in range(deployment.service_instances)
    ]


def _engine_entries(deployment, addresses):
    data_centres = deployment.data_centres
    return {
        name: _document.Endpoint(
            kind=_document.EndpointKind.ENGINE,
            address=addresses[name],
            data_centre=data_centres[number % len(data_centres)],
            host=f"host-{name}",
            slots=deployment.engine_slots,
            batch=deployment.engine_batch,
            fencing=deployment.engine_fencing,
        )
        for number, name in enumerate(engine_names(deployment))
    }


def _service_entries(deployment, addresses):
    data_centres = deployment.data_centres
    return {
        name: _document.Endpoint(
            kind=_document.EndpointKind.SERVICE,
            address=addresses[name],
            data_centre=data_centres[number % len(data_centres)],
            host=f"host-{name}",
            service=deployment.service,
        )
        for number, name in enumerate(service_names(deployment))
    }


def settings(deployment, host, addresses, kv_address, host_list_address):
    """Create the settings of a node.

    :param host: name of the node's entry host.
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
