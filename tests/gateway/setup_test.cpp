// The setup of pooled connections: variables and prepared statements of the session that is served next. Guards against statements that run with the
// prepared statement or the variables of another session.
#include "harness/gateway_rig.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace harness;

namespace {

class Setup {
public:
    Setup()
    {
        rig.startHosts();
    }

    std::vector<standins::ExecutedStatement> findExecuted(const std::string& id)
    {
        auto all = rig.call([&] { return rig.getGroup().getExecutedStatements(); });
        std::erase_if(all, [&](auto& it) { return it.id != id; });
        return all;
    }

    // Members refuse the next SET or PREPARE message that each of them receives.
    void refuseSetups(int count)
    {
        rig.call([&] {
            for (auto& id : rig.getGroup().getIds())
                rig.getGroup().getFaults(id).refusedSetups = count;
        });
    }

    GatewayRig rig;
};

// A statement was executed as a write of `data` to `item` in the shape, once.
void checkExecuted(Setup& setup, const std::string& id, const std::string& shape, const std::string& item, const std::string& data)
{
    auto executed = setup.findExecuted(id);
    BOOST_REQUIRE(executed.size() == 1u);
    BOOST_TEST(executed[0].shape == shape);
    BOOST_TEST(executed[0].text == fmt::format("WRITE {} {}", item, data));
}

}

BOOST_AUTO_TEST_SUITE(connection_setup)

// A shape extends to the end of its line. The name of a prepared statement at a member was made from it, so `EXECUTE w_q2c with options item data` ran
// the shape `q2c` of another session on the item `with`.
BOOST_AUTO_TEST_CASE(a_shape_with_blanks_does_not_run_as_the_shape_of_another_session)
{
    Setup setup;
    const std::vector<std::string> shapes { "q2c", "q2c with options", "q2c  with two blanks", "q2c ", " q2c", "q2c item data", std::string(100000, 'q') + " long" };
    for (unsigned host = 0; host < 3; ++host) {
        for (size_t i = 0; i < shapes.size(); ++i) {
            LineCaller caller(setup.rig.getCallerAddress(host), "db0-primary");
            BOOST_TEST(caller.ask("PREPARE s1 WRITE " + shapes[i]).isOk());
            auto item = fmt::format("item{}-{}", host, i);
            BOOST_TEST(caller.ask(fmt::format("EXECUTE s1 {} data {}", item, i)).isOk());
            checkExecuted(setup, caller.getLastId(), shapes[i], item, fmt::format("data {}", i));
        }
    }
}

// The statement was sent behind its setup before that was answered, and ran with the state that an earlier session had left.
BOOST_AUTO_TEST_CASE(a_statement_is_not_run_if_the_setup_of_its_connection_is_refused)
{
    Setup setup;
    for (std::string begin : { "", "BEGIN" }) {
        LineCaller caller(setup.rig.getCallerAddress(0), "db0-primary");
        BOOST_TEST(caller.ask("SET zone new").isOk());
        BOOST_TEST(caller.ask("PREPARE s1 WRITE shape" + begin).isOk());
        if (!begin.empty())
            BOOST_TEST(caller.ask(begin).isOk());
        setup.refuseSetups(1);
        auto answer = caller.ask("EXECUTE s1 item data");
        BOOST_TEST(answer.hasCode("MALFORMED"), answer.result);
        BOOST_TEST(setup.findExecuted(caller.getLastId()).empty());
        setup.refuseSetups(0);
        LineCaller next(setup.rig.getCallerAddress(0), "db0-primary");
        BOOST_TEST(next.ask("PREPARE s1 WRITE other").isOk());
        BOOST_TEST(next.ask("EXECUTE s1 item data").isOk());
        checkExecuted(setup, next.getLastId(), "other", "item", "data");
        auto executed = setup.findExecuted(next.getLastId());
        BOOST_TEST(executed[0].variables.empty());
    }
}

// The same for a later statement and for the commit, whose connection the transaction holds: it is rolled back, and the caller is told so.
BOOST_AUTO_TEST_CASE(a_transaction_is_rolled_back_if_the_setup_of_its_next_statement_is_refused)
{
    Setup setup;
    for (std::string statement : { "WRITE second 2", "COMMIT" }) {
        LineCaller caller(setup.rig.getCallerAddress(1), "db0-primary");
        BOOST_TEST(caller.ask("BEGIN").isOk());
        BOOST_TEST(caller.ask("WRITE first 1").isOk());
        BOOST_TEST(caller.ask("SET zone new").isOk());
        setup.refuseSetups(1);
        auto answer = caller.ask(statement);
        BOOST_TEST(answer.hasCode("ABORTED"), answer.result);
        BOOST_TEST(setup.findExecuted(caller.getLastId()).empty());
        setup.refuseSetups(0);
        BOOST_TEST(!setup.rig.call([&] { return setup.rig.getGroup().getItems().contains("first"); }));
        LineCaller next(setup.rig.getCallerAddress(1), "db0-primary");
        BOOST_TEST(next.ask("WRITE third 3").isOk());
    }
    auto primary = setup.rig.call([&] { return setup.rig.getGroup().getPrimary(); });
    BOOST_TEST(waitUntil(milliseconds(2000), [&] { return setup.rig.call([&] { return setup.rig.getGroup().countWritingTransactions(primary); }) == 0; }));
}

// A caller whose shape no member accepts must not cost the others their connections.
BOOST_AUTO_TEST_CASE(connections_are_kept_when_a_setup_is_refused)
{
    Setup setup;
    LineCaller caller(setup.rig.getCallerAddress(0), "db0-primary");
    BOOST_TEST(caller.ask("PREPARE s1 WRITE shape").isOk());
    BOOST_TEST(caller.ask("WRITE x 1").isOk());
    auto primary = setup.rig.call([&] { return setup.rig.getGroup().getPrimary(); });
    auto connections = setup.rig.call([&] { return setup.rig.getGroup().getPeakConnections(primary); });
    setup.refuseSetups(20);
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(caller.ask("EXECUTE s1 item data").hasCode("MALFORMED"));
    setup.refuseSetups(0);
    BOOST_TEST(caller.ask("EXECUTE s1 item data").isOk());
    BOOST_TEST(setup.rig.call([&] { return setup.rig.getGroup().getPeakConnections(primary); }) == connections);
}

BOOST_AUTO_TEST_CASE(an_execute_without_an_item_is_malformed)
{
    Setup setup;
    LineCaller caller(setup.rig.getCallerAddress(0), "db0-primary");
    BOOST_TEST(caller.ask("PREPARE s1 WRITE shape").isOk());
    BOOST_TEST(caller.ask("EXECUTE s1").hasCode("MALFORMED"));
    BOOST_TEST(setup.findExecuted(caller.getLastId()).empty());
}

BOOST_AUTO_TEST_SUITE_END()
