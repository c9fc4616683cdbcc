#include "filbert_node/filbert_node.h"

#include <catch2/catch.hpp>

using namespace filbert;

namespace {

void hear(domain_traffic &traffic, const std::string &name, const std::string &domain)
{
    messages::work_envelope hello;
    hello.set_from(name);
    hello.mutable_hello()->set_failure_domain(domain);
    traffic.countReceived(name, hello, 10);
}

bool contains(const work_metrics &metrics, const std::string &text)
{
    return metrics.text().find(text) != std::string::npos;
}

} // namespace

// Guards against traffic between failure domains that nobody sees until a link is full.
TEST_CASE("bytes between failure domains are counted by cause, those within one are not",
          "[traffic]")
{
    work_metrics metrics;
    domain_traffic traffic {metrics, "a"};
    messages::work_envelope orders;
    orders.mutable_carried();
    traffic.countSent("far", orders, 1'000); // its domain is not known yet
    hear(traffic, "near", "a");
    hear(traffic, "far", "b");
    hear(traffic, "unknown", "");
    for (const auto *peer : {"near", "far", "unknown"}) {
        traffic.countSent(peer, orders, 100);
    }
    messages::work_envelope answers;
    answers.set_from("far");
    answers.mutable_carried_answers();
    traffic.countReceived("left-over", answers, 70);
    const std::string name = "filbert_work_domain_bytes_total";
    CHECK(contains(metrics, name + R"({cause="orders",direction="sent",domain="b"} 100)"));
    CHECK(
        contains(metrics, name + R"({cause="order_answers",direction="received",domain="b"} 70)"));
    CHECK(contains(metrics, name + R"({cause="hellos",direction="received",domain="b"} 10)"));
    CHECK_FALSE(contains(metrics, R"(domain="a")"));
    CHECK_FALSE(contains(metrics, R"(domain="")"));
}

TEST_CASE("replication is counted where it is sent only", "[traffic]")
{
    work_metrics metrics;
    domain_traffic traffic {metrics, "a"};
    hear(traffic, "c2", "b");
    messages::work_envelope replication;
    replication.mutable_replication();
    traffic.countReceived("c2", replication, 500);
    traffic.countSent("c2", replication, 300);
    CHECK(contains(metrics, R"({cause="replication",direction="sent",domain="b"} 300)"));
    CHECK_FALSE(contains(metrics, R"(cause="replication",direction="received")"));
}
