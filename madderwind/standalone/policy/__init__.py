"""The routing and admission decisions of a balancer and their interface; nothing here performs I/O."""
