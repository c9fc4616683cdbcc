#include "work_fixture.h"

#include <catch2/catch.hpp>
#include <random>

using namespace filbert;

namespace {

using teams = std::vector<std::pair<std::string, std::vector<std::string>>>;

/** @param teams  name and keys of each */
messages::work_configuration configurationWith(const teams &teams)
{
    messages::work_configuration configuration;
    for (const auto &[name, keys] : teams) {
        auto *team = configuration.add_teams();
        team->set_name(name);
        for (const auto &key : keys) {
            team->add_keys(key);
        }
    }
    return configuration;
}

using successors = std::map<std::string, std::string>;

successors successorsOf(const teams &previous, const teams &next)
{
    return findSuccessors(configurationWith(previous), configurationWith(next));
}

} // namespace

TEST_CASE("a team whose keys change under its name keeps its jobs", "[work]")
{
    CHECK(successorsOf({{"a", {"1"}}}, {{"a", {"1", "2"}}}).empty());
    CHECK(successorsOf({{"a", {"1", "2"}}}, {{"a", {"2"}}}).empty());
    CHECK(successorsOf({{"a", {"1"}}}, {{"a", {"2"}}}).empty());
    CHECK(successorsOf({{"a", {"1"}}}, {{"a", {"1"}}, {"b", {"2"}}}).empty());
    CHECK(successorsOf({}, {{"a", {"1"}}}).empty()); // it may have been there before
}

TEST_CASE("a team that gets another name keeps its jobs by its keys", "[work]")
{
    CHECK(successorsOf({{"a", {"1", "2"}}}, {{"b", {"2", "3"}}})
          == successors {{"a", "b"}, {"b", ""}});
    CHECK(successorsOf({{"a", {"1"}}, {"b", {"2"}}}, {{"a", {"2"}}, {"b", {"1"}}})
          == successors {{"a", "b"}, {"b", "a"}});
}

// Guards against jobs that nobody can see or stop any more after a merger or a division.
TEST_CASE("the heir of a team is the holder of most of its keys", "[work]")
{
    CHECK(successorsOf({{"a", {"1"}}, {"b", {"2"}}}, {{"b", {"1", "2"}}})
          == successors {{"a", "b"}});
    CHECK(successorsOf({{"a", {"1"}}, {"b", {"2"}}}, {{"c", {"1", "2"}}})
          == successors {{"a", "c"}, {"b", "c"}, {"c", ""}});
    CHECK(successorsOf({{"a", {"1", "2", "3"}}}, {{"b", {"1"}}, {"c", {"2", "3"}}})
          == successors {{"a", "c"}, {"b", ""}, {"c", ""}});
    CHECK(successorsOf({{"a", {"1"}}, {"b", {"2"}}}, {{"b", {"1", "2"}}, {"a", {"3"}}})
          == successors {{"a", "b"}});
}

TEST_CASE("nobody gets the jobs of a team with its name alone", "[work]")
{
    CHECK(successorsOf({{"a", {"1"}}}, {}) == successors {{"a", ""}});
    CHECK(successorsOf({{"a", {"1"}}, {"b", {"2"}}}, {{"a", {"2"}}})
          == successors {{"a", ""}, {"b", "a"}});
    // A team "b" that left earlier may still have jobs.
    CHECK(successorsOf({{"a", {"1", "2"}}}, {{"a", {"1"}}, {"b", {"2"}}})
          == successors {{"b", ""}});
}

namespace {

/** A cell whose teams change at random, with the jobs that they have submitted. */
struct changing_teams : work_fixture
{
    explicit changing_teams(std::uint32_t seed)
        : random {seed}
    {
        registerTarget("t1", 1, 1'000'000);
    }

    std::uint32_t below(std::uint32_t limit) { return random() % limit; }

    /** Gives each of some keys to one of some teams, or to none, and opens the queue or not. */
    void changeTeams()
    {
        messages::work_command command;
        *command.mutable_configure() = state.configuration;
        command.mutable_configure()->set_version(state.configuration.version() + 1);
        command.mutable_configure()->mutable_queues(0)->set_is_open(below(6) == 0);
        command.mutable_configure()->clear_teams();
        std::map<std::string, std::vector<std::string>> keysByTeam;
        for (int key = 0; key < 6; ++key) {
            if (const auto team = below(5); team < 4) {
                keysByTeam["team-" + std::to_string(team)].push_back(std::to_string(key));
            }
        }
        for (const auto &[name, keys] : keysByTeam) {
            auto *team = command.mutable_configure()->add_teams();
            team->set_name(name);
            team->mutable_keys()->Assign(keys.begin(), keys.end());
        }
        apply(command);
    }

    /** Accepts a job of a key of the present configuration, and starts it or not. */
    void submit()
    {
        const auto key = std::to_string(below(6));
        const auto *team = findTeamByKey(state.configuration, key);
        const auto id = "j" + std::to_string(state.jobs.size());
        if (team == nullptr) {
            return;
        }
        messages::work_command command;
        auto *job = command.mutable_accept();
        job->set_id(id);
        job->set_team(team->name());
        *job->add_steps() = step(2, 100);
        *job->mutable_taken_under() = state.configuration.queues(0);
        const auto keys = teamKeysOf(*team, keyFingerprint(key));
        job->mutable_team_keys()->Assign(keys.begin(), keys.end());
        REQUIRE(apply(command).error == error_kind::None);
        keyOfJob[id] = key;
        if (below(2) == 0) {
            REQUIRE(start({id, 0, 0, 0}, 1, "t1").error == error_kind::None);
        }
    }

    std::set<std::uint64_t> keysOf(const messages::work_configuration &configuration,
                                   const std::string &name) const
    {
        std::set<std::uint64_t> keys;
        if (const auto *team = findTeam(configuration, name)) {
            for (const auto &key : team->keys()) {
                keys.insert(keyFingerprint(key));
            }
        }
        return keys;
    }

    bool canSee(const std::string &key, const work_job &job) const
    {
        const auto *team = findTeamByKey(state.configuration, key);
        const auto caller =
            team != nullptr ? job_caller {team->name(), keyFingerprint(key)} : job_caller {};
        return isVisible(state.configuration, state.configuration.queues(0), caller,
                         accessOf(job.job));
    }

    /** @param previous  the configuration before the last change @param owners  the teams then */
    void check(const messages::work_configuration &previous,
               const std::map<std::string, std::string> &owners) const
    {
        for (const auto &[id, job] : state.jobs) {
            const auto &key = keyOfJob.at(id);
            const auto *holder = findTeamByKey(state.configuration, key);
            const auto &owner = job.job.team();
            INFO("job " << id << " of key " << key << " owned by " << owner);
            if (holder != nullptr) {
                CHECK(owner == holder->name());
                CHECK(canSee(key, job));
            }
            const std::set<std::uint64_t> atAcceptance {job.job.team_keys().begin(),
                                                        job.job.team_keys().end()};
            const auto ownersKeys = keysOf(state.configuration, owner);
            const bool isOpen =
                state.configuration.queues(0).is_open() || job.job.taken_under().is_open();
            for (int each = 0; each < 6 && !isOpen; ++each) {
                const auto fingerprint = keyFingerprint(std::to_string(each));
                const bool isHeld =
                    findTeamByKey(state.configuration, std::to_string(each)) != nullptr;
                const bool isOwners =
                    ownersKeys.contains(fingerprint) || atAcceptance.contains(fingerprint);
                CHECK(canSee(std::to_string(each), job) == (isHeld && isOwners));
            }
            if (owner.empty() || owner == owners.at(id)) {
                continue;
            }
            auto formerKeys = keysOf(previous, owners.at(id));
            formerKeys.insert(atAcceptance.begin(), atAcceptance.end());
            CHECK(std::any_of(ownersKeys.begin(), ownersKeys.end(),
                              [&](auto each) { return formerKeys.contains(each); }));
        }
        auto rebuilt = state;
        rebuildDerivedState(rebuilt);
        CHECK(rebuilt.teamUsage == state.teamUsage);
    }

    std::mt19937 random;
    std::map<std::string, std::string> keyOfJob; // with which it was submitted
};

} // namespace

// Guards against jobs that their callers cannot find, and against jobs that others can.
TEST_CASE("whatever becomes of teams and keys, a job is found by its own callers and no others",
          "[work]")
{
    for (std::uint32_t seed = 1; seed <= 100; ++seed) {
        INFO("seed " << seed);
        changing_teams cell {seed};
        for (int change = 0; change < 8; ++change) {
            const auto previous = cell.state.configuration;
            std::map<std::string, std::string> owners;
            for (const auto &[id, job] : cell.state.jobs) {
                owners[id] = job.job.team();
            }
            cell.changeTeams();
            cell.check(previous, owners);
            cell.submit();
            cell.submit();
        }
    }
}

// Guards against work that escapes the cap of its team once that has another name.
TEST_CASE("what the jobs of a renamed team use counts for its successor", "[work]")
{
    work_fixture cell;
    cell.registerTarget("t1");
    cell.accept("j1", {work_fixture::step(1)});
    REQUIRE(cell.start({"j1", 0, 0, 0}, 1, "t1").error == error_kind::None);
    messages::work_command command;
    *command.mutable_configure() = cell.state.configuration;
    command.mutable_configure()->set_version(2);
    command.mutable_configure()->mutable_teams(0)->set_name("renamed");
    cell.apply(command);
    CHECK(cell.state.jobs.at("j1").job.team() == "renamed");
    CHECK(cell.state.teamUsage.at("renamed").milliCores == 2'000);
    CHECK_FALSE(cell.state.teamUsage.contains("desk"));
    const auto usage = cell.state.teamUsage;
    rebuildDerivedState(cell.state);
    CHECK(cell.state.teamUsage.at("renamed").milliCores == usage.at("renamed").milliCores);
}

// Guards against jobs that never get the settings of their queue once it has another name, or get
// those of a queue that has got its old one.
TEST_CASE("a job has the settings of the queue at its place, whatever the names", "[work]")
{
    work_fixture cell;
    cell.accept("j1", {work_fixture::step(1)});
    messages::work_command command;
    *command.mutable_configure() = cell.state.configuration;
    command.mutable_configure()->set_version(2);
    auto *renamed = command.mutable_configure()->mutable_queues(0);
    auto *other = command.mutable_configure()->add_queues();
    *other = *renamed;
    renamed = command.mutable_configure()->mutable_queues(0);
    renamed->set_name("renamed");
    renamed->set_max_attempts(7);
    other->set_path_prefix("/elsewhere/");
    other->set_max_attempts(1);
    cell.apply(command);
    const auto &job = cell.state.jobs.at("j1");
    CHECK(queueOf(cell.state, job).max_attempts() == 7);
    command.mutable_configure()->set_version(3);
    command.mutable_configure()->mutable_queues()->DeleteSubrange(0, 1);
    cell.apply(command);
    CHECK(queueOf(cell.state, job).max_attempts() == 2); // as it was accepted
}
