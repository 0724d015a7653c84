"""The relay on sockets: each file has one job."""
