"""What copies know of one another: who is alive, and news that is passed on. Free of input and output."""
