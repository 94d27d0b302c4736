"""Entry point of `python -m madderwind.dataplane`: the data plane of a front machine."""

from madderwind.early_signals import ignore_hangup


def run() -> None:
    """Run the command line, which is imported only once SIGHUP no longer ends the process."""
    ignore_hangup()
    from madderwind.dataplane.command import main

    main()


if __name__ == "__main__":
    run()
