"""`python -m madderwind.controlplane`: the control plane of a core machine."""

from madderwind.early_signals import ignore_hangup


def run() -> None:
    """Ignore SIGHUP, then import and run the process, so that a hangup during the import does not end it."""
    ignore_hangup()
    from madderwind.controlplane.process import main

    main()


if __name__ == "__main__":
    run()
