"""The fleet of doormans: who is alive, peer datagrams, and the one peer socket."""
