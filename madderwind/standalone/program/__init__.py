"""The command line, configuration, log, signal handling and component setup of a balancer process."""
