"""Messages between the daemons, generated from peer.proto."""
