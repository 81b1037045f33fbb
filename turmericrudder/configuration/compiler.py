"""Compile a configuration source, checking all its values and references."""

import re

from ..address import Address
from ..errors import AddressInvalid, ConfigurationInvalid
from ..ini import parse_ini
from .blocks import BlockTable
from .model import Configuration
from .request_class import RequestClass
from .service import Service
from .source import BLOCKS_FILE, PARAMETERS_FILE, TEMPLATES_FILE
from .target import Target

__all__ = ["compile_source"]

RESERVED_NAMES = ("health", "lookup")  # paths that entry instances serve themselves
_NAME_RE = re.compile(r"[A-Za-z0-9_-]+")
_KINDS = ("at_most_once", "idempotent", "plain")
_LENGTHS = ("short", "long")
_BITS_PER_MBIT = 1_000_000
_BITS_PER_BYTE = 8


def compile_source(source, revision=0, block_table=None):
    """Return the :class:`Configuration` of a source.

    :param source: :class:`~turmericrudder.configuration.ConfigurationSource`.
    :param revision: number of the revision that the source has in the store.
    :param block_table: table of the same blocks if one exists, otherwise it is
        built.
    :raises ConfigurationInvalid: naming file, section, key and reason.
    """
    return _Compiler(source).compile(revision, block_table)


class _Compiler:
    """Compiles one source; each method reads the sections of one kind."""

    def __init__(self, source):
        self._source = source
        self._templates = parse_ini(
            source.templates, TEMPLATES_FILE, ConfigurationInvalid
        )
        self._parameters = parse_ini(
            source.parameters, PARAMETERS_FILE, ConfigurationInvalid
        )
        self._domain_regions = {}
        self._entry_counts = {}
        self._targets = {}

    def compile(self, revision, block_table):
        name, bytes_per_second = self._read_workspace()
        self._read_domains()
        templates = self._read_templates()
        services = self._read_services(templates)
        self._read_targets(services)
        self._reject_unknown()
        self._check_drained()
        return Configuration(
            revision=revision,
            workspace=name,
            domain_regions=self._domain_regions,
            entry_counts=self._entry_counts,
            services=services,
            targets=self._targets,
            block_table=block_table or self._build_block_table(),
            drained=frozenset(self._source.drained),
            link_bytes_per_second=bytes_per_second,
        )

    def _iter_parameters(self, prefix):
        """Yield (NAME, section) of the parameter sections called ``prefix NAME``."""
        for name, section in self._parameters.items():
            if name.startswith(prefix + " "):
                yield name[len(prefix) + 1 :].strip(), section

    def _read_workspace(self):
        """Return (name, bytes per second of a link between two regions)."""
        if "workspace" not in self._parameters:
            raise ConfigurationInvalid(
                PARAMETERS_FILE, "workspace", "-", "missing section"
            )
        section = self._parameters["workspace"]
        mbit = section.get_float("link_mbit_per_second", low=1)
        return section.get_text("name"), int(mbit * _BITS_PER_MBIT / _BITS_PER_BYTE)

    def _read_domains(self):
        for name, section in self._iter_parameters("domain"):
            self._domain_regions[name] = section.get_text("region")
            self._entry_counts[name] = section.get_int("entries", low=0)
        if not self._domain_regions:
            raise ConfigurationInvalid(
                PARAMETERS_FILE, "domain", "-", "no failure domain is defined"
            )
        for name in self._domain_regions:
            if name in self._domain_regions.values():
                section = self._parameters[f"domain {name}"]
                raise section.make_error(
                    "region", f"failure domain {name} has the name of a region"
                )

    def _read_templates(self):
        """Return {template name: (section, request classes)}."""
        templates = {}
        for title, section in self._templates.items():
            kind, _, name = title.partition(" ")
            if kind == "template":
                templates[name] = (section, [])
            elif kind == "class" and name.count(".") == 1:
                template, class_name = name.split(".")
                if template not in templates:
                    raise section.make_error(
                        "-", f"template {template!r} is not defined before this class"
                    )
                templates[template][1].append(self._read_class(class_name, section))
            else:
                raise section.make_error("-", "unknown section")
        return templates

    def _read_class(self, name, section):
        kind = section.get_choice("kind", _KINDS)
        deadline = section.get_duration("deadline")
        request_class = RequestClass(
            name=name,
            method=section.get_text("method", "*"),
            path=section.get_text("path"),
            is_at_most_once=kind == "at_most_once",
            is_idempotent=kind == "idempotent",
            is_long=section.get_choice("length", _LENGTHS, "short") == "long",
            timeout=deadline,
            first_byte_timeout=section.get_duration("first_byte", f"{deadline}s"),
            idle_timeout=section.get_duration("idle", f"{deadline}s"),
        )
        section.reject_unknown_keys()
        return request_class

    def _read_services(self, templates):
        services = {}
        for name, section in self._iter_parameters("service"):
            if name in RESERVED_NAMES or not _NAME_RE.fullmatch(name):
                raise section.make_error("-", f"{name!r} is not a valid service name")
            template = section.get_text("template")
            if template not in templates:
                raise section.make_error("template", f"unknown template {template!r}")
            defaults, classes = templates[template]
            services[name] = self._read_service(name, section, defaults, classes)
        if not services:
            raise ConfigurationInvalid(
                PARAMETERS_FILE, "service", "-", "no service is defined"
            )
        # Services read copies of the template sections; read the keys here too, so
        # that they do not count as unknown.
        for section, _ in templates.values():
            for key in ("shed_status", "drain_status", "load_path", "status_path"):
                section.get_text(key, "")
        return services

    def _read_service(self, name, section, defaults, classes):
        if not classes:
            raise defaults.make_error("-", "the template has no request class")
        slots = section.get_int("slots", low=1, high=10_000)
        long_slots = section.get_int("long_slots", slots, 0, slots)
        caps = {
            key[len("cap.") :]: section.get_int(key)
            for key in list(section)
            if key.startswith("cap.")
        }
        for region in caps:
            if region not in self._domain_regions.values():
                raise section.make_error(f"cap.{region}", f"unknown region {region!r}")
        template = defaults.copy()
        return Service(
            name=name,
            template=defaults.name.partition(" ")[2],
            classes=tuple(classes),
            slots=slots,
            long_slots=long_slots,
            foreign_caps=caps,
            cap_floor=section.get_float("cap_floor", 0.2, 0.0, 1.0),
            cap_ramp=section.get_duration("cap_ramp", "30s"),
            queue_limit=section.get_int("queue", 4, 0, 10_000),
            queue_timeout=section.get_duration("queue_wait", "25ms"),
            shed_status=template.get_int("shed_status", 429, 400, 599),
            drain_status=template.get_int("drain_status", 0, 0, 599),
            load_path=template.get_text("load_path", ""),
            status_path=template.get_text("status_path", ""),
        )

    def _read_targets(self, services):
        for service, section in self._iter_parameters("targets"):
            if service not in services:
                raise section.make_error("-", f"unknown service {service!r}")
            for name in list(section):
                self._add_target(service, section, name)

    def _add_target(self, service, section, name):
        domain, _, address = section.get_text(name).partition(" ")
        if domain not in self._domain_regions:
            raise section.make_error(name, f"unknown failure domain {domain!r}")
        if name in self._targets or name in self._domain_regions:
            raise section.make_error(
                name, "the name is already used by a target or failure domain"
            )
        try:
            parsed_address = Address.parse(address)
        except AddressInvalid as exc:
            raise section.make_error(name, str(exc)) from None
        self._targets[name] = Target(name, service, domain, parsed_address)

    def _reject_unknown(self):
        """Raise an error for a section or key that was not read."""
        known_kinds = ("workspace", "domain", "service", "targets")
        for name, section in self._parameters.items():
            if name.partition(" ")[0] not in known_kinds:
                raise section.make_error("-", "unknown section")
            section.reject_unknown_keys()
        for section in self._templates.values():
            section.reject_unknown_keys()

    def _check_drained(self):
        for name in self._source.drained:
            if name not in self._targets and name not in self._domain_regions:
                reason = "not the name of a target or failure domain"
                raise ConfigurationInvalid("drain", "drained", name, reason)

    def _build_block_table(self):
        known = {*self._domain_regions, *self._domain_regions.values()}
        for locality in self._source.blocks.localities:
            if locality not in known:
                raise ConfigurationInvalid(
                    BLOCKS_FILE,
                    "blocks",
                    locality,
                    "not the name of a region or failure domain",
                )
        return BlockTable(self._source.blocks)
