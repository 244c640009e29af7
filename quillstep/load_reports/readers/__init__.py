"""Load report readers, in a thread of the controller or in separate processes, with their sockets and pipes."""
