"""What the callers and servers of a soak send each other."""

import socket
import struct

from coltsfootsail.platform import messages

CONTENT = "x-content"  # header with the id of a request's content
KIND = "x-kind"
LINGER_RESET = struct.pack("ii", 1, 0)  # makes a close reset the connection


def reset(stream):
    """Close a connection with a reset in place of an orderly end."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    stream.socket.close()


def plain_body(content):
    """Get the body that answers a content."""
    return f"done:{content}".encode()


def event(content, number):
    """Get one event of the stream that answers a content."""
    return f"id: {number}\ndata: {content} {number}\n\n".encode()


def echo(req):
    """Get the headers that echo a request's id."""
    return [(messages.REQUEST_ID, req.header(messages.REQUEST_ID))]
