"""How far an answer on a connection may be believed (response desynchronisation)."""
