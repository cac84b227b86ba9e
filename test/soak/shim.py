"""Starts daemons of the soak with the library of loopback_shim.cc, so that their calls to each other can be cut."""


def shim_environment(build, announced_port, listening_port, source):
    """Returns the variables with which a daemon listens on `listening_port` instead of the peers port that it
    announces, and connects from the address `source`."""
    return {
        "LD_PRELOAD": str(build / "dotterel-standin-shim.so"),
        "ASAN_OPTIONS": "verify_asan_link_order=0",
        "DOTTEREL_SHIM_LISTEN": f"{announced_port}:{listening_port}",
        "DOTTEREL_SHIM_SOURCE": source,
    }
