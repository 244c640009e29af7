"""Keys, names and versions of resources, and offsets of table numbers."""

import pytest

from quillstep.routing import Tables
from quillstep.routing.resources import CLUSTER, EJECTED, ROUTES, WEIGHT, table_number_offset
from quillstep.xds.resources import CDS, LEDS, RDS, key_of, name, type_url

WEIGHT_3 = "xdstp://quillstep/envoy.config.endpoint.v3.LbEndpoint/table-0/3"
EJECTED_3 = "xdstp://quillstep/envoy.config.endpoint.v3.LbEndpoint/withdrawn/3"


def test_a_table_of_another_zone_has_another_number():
    base, other = table_number_offset(["a", "b"], True), table_number_offset(["b", "a"], True)
    assert base != other and base >= 2**24 and table_number_offset(["a", "b"], False) == 0
    assert table_number_offset(["a", "b"], True) == base


@pytest.mark.parametrize(
    ("url", "resource_name", "key"),
    [
        (CDS, "table-12", (CLUSTER, 12)), (CDS, "table-012", None), (CDS, "table--1", None), (CDS, "table-", None),
        (LEDS, WEIGHT_3, (WEIGHT, 0, 3)), (LEDS, EJECTED_3, (EJECTED, 3)), (LEDS, EJECTED_3 + "x", None),
        (RDS, "exchanges", (ROUTES,)), (RDS, "table-1", None), (LEDS, "xdstp://quillstep/", None),
    ],
)  # fmt: skip
def test_names_and_keys_convert_both_ways(url, resource_name, key):
    found = key_of(url, resource_name)
    assert found == (key or ("other", url, resource_name))
    assert (type_url(found), name(found)) == (url, resource_name)


def test_versions_depend_on_the_content_alone():
    one, two = (Tables("rate", 0, 6.0) for _ in range(2))
    for tables, numbers in ((one, (1, 2, 3)), (two, (3, 2, 1))):
        for number in numbers:
            tables.begin()
            tables.set_address(number, "127.0.0.1", 9000 + number)
            tables.set_weight(0, number, number * 2.0)
            tables.commit()
    assert [one.shared_resource((WEIGHT, 0, n)) for n in (1, 2, 3)] == [
        two.shared_resource((WEIGHT, 0, n)) for n in (1, 2, 3)
    ]
