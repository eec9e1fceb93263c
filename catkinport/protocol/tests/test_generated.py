"""Tests that the committed generated code matches ``peer.proto``."""

from pathlib import Path

from google.protobuf.descriptor import FieldDescriptor
from proto_schema_parser import ast
from proto_schema_parser.parser import Parser

from .. import peer_grpc, peer_pb2

_PROTO = Path(peer_pb2.__file__).with_name("peer.proto")
_SCALAR_NAME_BY_TYPE = {
    getattr(FieldDescriptor, f"TYPE_{name.upper()}"): name
    for name in ("string", "int64", "bool", "bytes", "double", "int32", "uint64")
}


def _parsed(kind):
    file = Parser().parse(_PROTO.read_text())
    return [element for element in file.file_elements if isinstance(element, kind)]


def _fields_of_message(message):
    return {
        (f.name, f.number, f.type, f.cardinality == ast.FieldCardinality.REPEATED)
        for f in message.elements
        if isinstance(f, ast.Field)
    }


def _type_name(field):
    if field.message_type is not None:
        return field.message_type.name
    return _SCALAR_NAME_BY_TYPE[field.type]


class TestGeneratedCode:
    """Comparison of descriptors, which needs no code generator."""

    def test_messages_match(self):
        """Guards against a change of the .proto file without new generated code."""
        parsed = {m.name: _fields_of_message(m) for m in _parsed(ast.Message)}
        generated = {
            name: {
                (f.name, f.number, _type_name(f), f.is_repeated) for f in message.fields
            }
            for name, message in peer_pb2.DESCRIPTOR.message_types_by_name.items()
        }
        assert generated == parsed
        assert len(parsed) > 10

    def test_services_match(self):
        """Guards against a call that only one of the two files has."""
        package = _parsed(ast.Package)[0].name
        parsed = {
            f"/{package}.{service.name}/{m.name}": (
                m.input_type.type,
                m.output_type.type,
            )
            for service in _parsed(ast.Service)
            for m in service.elements
            if isinstance(m, ast.Method)
        }
        generated = {}
        for service in ("Membership", "Queues", "Allowances"):
            base = getattr(peer_grpc, f"{service}Base")
            stub_class = type(service, (base,), dict.fromkeys(base.__abstractmethods__))
            for path, handler in stub_class().__mapping__().items():
                names = handler.request_type.__name__, handler.reply_type.__name__
                generated[path] = names
        assert generated == parsed
