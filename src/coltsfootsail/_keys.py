"""Names of the keys that the system stores in the KV service.

Every node watches all keys under ``STATE``; keys under ``DATA`` are read
when needed.
"""

import hashlib

STATE = "/coltsfootsail/state/"
DATA = "/coltsfootsail/data/"
MEMBERS = STATE + "members/"
CLAIMS = STATE + "claims/"
INTENTS = STATE + "intents/"
WAITS = STATE + "waits/"
STRIKES = STATE + "strikes/"
BLAMED_PARTS = STATE + "blamed-parts/"
STREAMS = STATE + "streams/"
ERA = STATE + "era"
CONFIG_ROOT = STATE + "config"
CHUNKS = DATA + "chunks/"
HISTORY = DATA + "history/"
LEDGER = DATA + "ledger/"


def member(node):
    """Key of a node's member record, which is attached to its lease."""
    return MEMBERS + node


def claim(endpoint):
    """Key of the claim on an endpoint, attached to its owner's lease."""
    return f"{CLAIMS}endpoints/{endpoint}"


def intent(endpoint):
    """Key of the record of the nodes that may still use an endpoint."""
    return INTENTS + endpoint


def wait(endpoint):
    """Key of the record of the nodes that an endpoint's owner waits for."""
    return WAITS + endpoint


def strike(fingerprint):
    """Key of the strike count of a request content."""
    return STRIKES + fingerprint


def blamed_part(part):
    """Key of the blame of a prompt's part, attached to a lease of its own."""
    digest = hashlib.blake2b(part.encode(), digest_size=16)
    return BLAMED_PARTS + digest.hexdigest()


def stream_slot(node, incarnation, slot):
    """Key of a batch of streams that began at one incarnation of a node.

    It is attached to a lease of its own, so that it outlives the node.
    """
    return f"{STREAMS}{node}/{incarnation}/{slot:04d}"


def chunk(digest):
    """Key of a configuration chunk, by its hash in hex."""
    return CHUNKS + digest


def history(revision):
    """Key of the record of a configuration change."""
    return f"{HISTORY}{revision:012d}"


def ledger(bucket):
    """Key of a ledger bucket."""
    return f"{LEDGER}{bucket:05d}"


def permits(region):
    """Key of the claim on a region's weight-store permits."""
    return f"{CLAIMS}weight-store/{region}"
