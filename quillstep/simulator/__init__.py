"""The adapter: speaks the line protocol on standard input and output for any number of instances."""
