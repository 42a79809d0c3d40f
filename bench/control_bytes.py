#!/usr/bin/env python3
"""Control bytes of idle nodes at several fleet sizes, from the nodes' own counters.

    bench/control_bytes.py [seconds, default 10] [sizes, default 10 30 100]

Starts the platform stand-in and the nodes on loopback, in five failure domains, waits until all
know each other, and prints sent and received bytes a second for each node. The counters hold
datagrams with IP and UDP headers and the values of fetched objects, but not the calls to the
platform.
"""
import os
import re
import subprocess
import sys
import tempfile
import time
import urllib.request

BUILD = os.environ.get("BUILD_DIR", "build")


def start(args, log, processes):
    processes.append(subprocess.Popen(args, stdout=open(log, "w"), stderr=subprocess.STDOUT))
    while True:
        match = re.search(r"event=listening (.*)", open(log).read())
        if match:
            return dict(pair.split("=") for pair in match.group(1).split())
        time.sleep(0.02)


def counters(admin):
    text = urllib.request.urlopen("http://%s/metrics" % admin).read().decode()
    return {name: int(value) for name, value in re.findall(r"^(snipescale_\S+) (\d+)$", text, re.M)}


def measure(size, seconds):
    processes, admins, seed = [], [], ""
    with tempfile.TemporaryDirectory() as work:
        try:
            port = start([BUILD + "/fake_platform", "--port", "0"], work + "/p", processes)["port"]
            for i in range(size):
                path = "%s/n%d" % (work, i)
                with open(path + ".toml", "w") as f:
                    f.write('[node]\nid = "n%d"\nregion = "r"\nfailure_domain = "d%d"\n'
                            'fleet_secret = "only for measurements"\n[listen]\n' % (i, i % 5))
                    for name in ("callers", "local", "peers", "admin"):
                        f.write('%s = "127.0.0.1:0"\n' % name)
                    f.write('[platform]\naddress = "127.0.0.1:%s"\n[join]\nseeds = [%s]\n'
                            % (port, seed))
                pairs = start([BUILD + "/snipescaled", "-c", path + ".toml"], path, processes)
                admins.append(pairs["admin"])
                seed = seed or '"%s"' % pairs["peers"]
            while any(counters(a).get("snipescale_members", 0) < size for a in admins):
                time.sleep(0.2)
            time.sleep(5)  # the updates of the start have been passed on
            before, begin = [counters(a) for a in admins], time.monotonic()
            time.sleep(seconds)
            after, span = [counters(a) for a in admins], time.monotonic() - begin
        finally:
            for process in processes:
                process.kill()
                process.wait()
    rates = sorted(sum(b[k] - a[k] for k in ("snipescale_control_bytes_sent",
                                             "snipescale_control_bytes_received")) / span
                   for a, b in zip(before, after))
    print("%5d %10.0f %10.0f" % (size, sum(rates) / len(rates), rates[-1]))


if __name__ == "__main__":
    print("nodes   mean B/s    max B/s")
    for n in [int(x) for x in sys.argv[2:]] or [10, 30, 100]:
        measure(n, float(sys.argv[1]) if len(sys.argv) > 1 else 10)
