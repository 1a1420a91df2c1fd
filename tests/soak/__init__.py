"""A soak of gateways as real processes, with faults from outside.

Gateways, the store and the servers are processes of their own on loopback.
The callers, the proxies between them and the fault plan run in the process
of the soak.  Servers and callers record what they did and saw; the checker
joins both records, so no claim of a gateway's own is believed.

``python -m tests.soak --seed 7`` plays one seed.
"""
