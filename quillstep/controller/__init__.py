"""The controller: collects events, runs the planner once a control interval, and sends its updates to proxies."""
