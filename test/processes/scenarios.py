"""Configurations and helpers that several failure tests share."""

import hashlib

TENANTS = {"red": "red-token-0123456789", "blue": "blue-token-0123456789", "learner": "learner-token-0123456789"}


def configuration(number=1, staleness=2, extra=""):
    """Two tenants with application requests, one with a training run, an engine service and a plain one."""
    sections = [f"[configuration]\nnumber = {number}"]
    for name, token in TENANTS.items():
        sections.append(f"[tenant {name}]\ntoken_sha256 = {hashlib.sha256(token.encode()).hexdigest()}")
    sections.append("[service model]\nkind = engine\nversion_source = lessons\nweight_size = 1 KiB\nstore_rate = 1 GiB")
    sections.append("[service desk]\nkind = plain\nidempotent = no")
    sections.append(f"[run lessons]\ntenant = learner\nservice = model\nstaleness_versions = {staleness}")
    return "\n\n".join(sections) + "\n" + extra


def trainer_arguments(cluster, store, folder, steps=8, **options):
    arguments = {"instances": ",".join(cluster.addresses), "token": TENANTS["learner"], "run": "lessons", "service": "model",
                 "store": store.address, "cursor-file": folder / "cursor", "steps": steps, "train-ms": 20,
                 "version-every-ms": 1500, "staleness": 2, "tokens": 30, "long-tokens": 90, "duration-ms": 90000}
    arguments.update({name.replace("_", "-"): value for name, value in options.items()})
    return ["trainer"] + [f"--{name}={value}" for name, value in arguments.items()]


def load_arguments(cluster, requests=200, **options):
    tenants = ",".join(f"{name}:{TENANTS[name]}" for name in ("red", "blue"))
    arguments = {"instances": ",".join(cluster.addresses), "tenants": tenants, "service": "model", "plain-service": "desk",
                 "plain-fraction": 0.3, "requests": requests, "rate": 40, "long-tokens": 120}
    arguments.update({name.replace("_", "-"): value for name, value in options.items()})
    return ["load"] + [f"--{name}={value}" for name, value in arguments.items()]
