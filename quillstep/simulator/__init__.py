"""The simulator's adapter: runs any number of planners over a line protocol on standard input and output."""
