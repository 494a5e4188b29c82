"""The fleet of proxies: membership, peer messages in datagrams, and the peer socket."""
