"""The daemon that runs on each backend server host."""
