#include "azurepaddle/platform/batch_format.hpp"
#include "azurepaddle/platform/configuration.hpp"
#include "azurepaddle/platform/duty_protocol.hpp"
#include "azurepaddle/platform/endpoint_protocol.hpp"
#include "azurepaddle/platform/json.hpp"
#include "azurepaddle/platform/registration.hpp"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace azurepaddle;
using namespace azurepaddle::platform;
using nlohmann::json;

namespace {

json configuration()
{
    return json::parse(R"({"version":7,"routes":[
        {"name":"r1","host":"h","path-prefix":"/a/","route-type":"rollout","timeout-ms":10000,"target-latency-ms":400,"priority":1,"service":"s","max-attempts":3,"retention-s":40.0,"due-ms":7500,"single-version":true,"resumable":true},
        {"name":"r2","host":"h","path-prefix":"/b/","route-type":"idempotent","timeout-ms":1500,"target-latency-ms":150,"priority":2,"split":[{"service":"s","weight":90},{"service":"t","weight":10}],"max-attempts":2}],
        "services":[{"name":"s","health-path":"/healthz","max-connections":150,"engine":{"kv-capacity":46000,"models":[{"name":"m"}]}},{"name":"t","max-connections":100}],
        "limits":{"max-header-bytes":16384,"max-body-bytes":1000,"header-timeout-ms":3000,"idle-timeout-ms":15000}})");
}

json beat()
{
    return json::parse(R"({"service":"s","address":"10.128.0.9:8080","zone":"z","version":"v1","slots":12,"state":"ready","cold-remaining-ms":0,"models":[{"name":"m","version":4,"adapters":[]}],"sequence":4,"born":1700000000000})");
}

}

// Guards against fields of a configuration that are lost or assigned to the wrong member.
Test(Configuration, whole_decoded_hasItsRoutesAndServices)
{
    const auto table = decodeConfiguration(configuration().dump());
    cr_assert(table.has_value());
    cr_assert(table->version() == 7);
    const gateway::Route& batchRoute = *table->find("h", "/a/x");
    cr_assert(batchRoute.kind == gateway::RouteKind::Batch);
    cr_assert(batchRoute.due == std::chrono::milliseconds(7500));
    cr_assert(batchRoute.retention == std::chrono::seconds(40));
    cr_assert(batchRoute.isSingleVersion);
    const gateway::Route& plainRoute = *table->find("h", "/b/x");
    cr_assert(plainRoute.services.size() == 2);
    cr_assert(plainRoute.maxAttempts == 2);
    cr_assert(table->findService(ServiceName("s"))->models.front() == batch::ModelName("m"));
    cr_assert(table->findService(ServiceName("s"))->kvCapacity == 46'000);
    cr_assert(table->findService(ServiceName("t"))->kvCapacity == 0);
    cr_assert(table->limits().message.bodyBytes == 1000);
    cr_assert(!gateway::validate(*table));
}

// Guards against a truncated or incomplete configuration of which a part is activated.
Test(Configuration, cutOrIncomplete_decoded_isRefused)
{
    const std::string text = configuration().dump();
    cr_assert(!decodeConfiguration(text.substr(0, text.size() / 2)));
    for (const char* field : { "version", "routes", "services" }) {
        json incomplete = configuration();
        incomplete.erase(field);
        cr_assert(!decodeConfiguration(incomplete.dump()));
    }
    json timeless = configuration();
    timeless["routes"][0]["timeout-ms"] = 0;
    const auto table = decodeConfiguration(timeless.dump());
    cr_assert(table && gateway::validate(*table));
}

// Guards against times whose number is so large that they end before they begin.
Test(Configuration, timeOutOfRange_decoded_isALongTime)
{
    json endless = configuration();
    endless["routes"][0]["timeout-ms"] = 1e300;
    const auto table = decodeConfiguration(endless.dump());
    cr_assert(table && table->routes().front().timeout > std::chrono::hours(24 * 300));
    for (const char* text : { "18446744073709551615", "9223372036854775807", "99999999999999" }) {
        const auto timeout = EndpointProtocol::clientTimeout({ "POST", "/", { { "X-Deadline-Ms", text } }, {} });
        cr_assert(timeout && *timeout > std::chrono::hours(1), "%s", text);
    }
}

namespace {

/// The configuration with these tenants.
tl::expected<gateway::RouteTable, std::string> decodeWithTenants(const json& tenants)
{
    json text = configuration();
    text["tenants"] = tenants;
    return decodeConfiguration(text.dump());
}

}

// Guards against keys or priorities that are lost, and against a route that is open to all by mistake.
Test(Configuration, tenants_decoded_identifyCallersByTheirKeys)
{
    const auto table = decodeWithTenants(json::array({ json { { "name", "blue" }, { "api-keys", json::array({ "k1", "k2" }) }, { "priority", 3 } }, json { { "name", "red" }, { "api-keys", json::array() } } }));
    cr_assert(table && !gateway::validate(*table));
    cr_assert(table->workspaces()->findCaller("k2") == gateway::Caller({ WorkspaceName("blue"), 3 }));
    cr_assert(!table->workspaces()->findCaller("k3"));
    cr_assert(!table->workspaces()->findCaller(""));
    cr_assert(table->workspaces()->callerOf(WorkspaceName("gone")) == gateway::Caller({ WorkspaceName("gone"), std::nullopt }));
    cr_assert(!table->find("h", "/b/x")->isPublic);
    cr_assert(!decodeConfiguration(configuration().dump())->workspaces());
    cr_assert(decodeWithTenants(json::array())->workspaces());
}

// Guards against a configuration in which a key identifies two workspaces or none, and against a message that quotes a key.
Test(Configuration, tenantsInconsistent_checked_areRefusedByName)
{
    const auto problemOf = [](const json& tenants) {
        const auto table = decodeWithTenants(tenants);
        const auto problem = table ? gateway::validate(*table) : gateway::ConfigurationProblem { table.error() };
        return problem ? problem->message : std::string();
    };
    const auto tenant = [](const char* name, const json& key, const json& otherKey) {
        return json { { "name", name }, { "api-keys", json::array({ key, otherKey }) } };
    };
    const auto check = [&problemOf](const json& tenants, const std::string& expected) {
        const std::string problem = problemOf(tenants);
        cr_assert(problem == expected, "%s", problem.c_str());
    };
    check(json::array({ tenant("blue", "secret", "a"), tenant("red", "other", "secret") }), "workspaces blue and red share a key");
    check(json::array({ tenant("blue", "", "a") }), "workspace blue has an empty key");
    check(json::array({ tenant("blue", "a", "b"), tenant("blue", "c", "d") }), "workspace blue is defined twice");
    check(json::array({ tenant("", "a", "b") }), "a workspace has no name");
    check(json::array({ tenant("blue", 7, "b") }), "tenant blue has a key that is not a text");
    check(json::array({ json { { "name", "blue" } } }), "a tenant lacks name or api-keys");
    check("text", "tenants is not a list");
    check(json::array({ tenant("blue", "a", "a") }), "");
}

// Guards against a key that reaches an endpoint, and against a caller that names the workspace itself.
Test(EndpointProtocol, caller_set_replacesKeyAndNamedWorkspace)
{
    http1::Request request { "POST", "/b/x", { { "Host", "h" }, { "authorization", "bearer k1" }, { "x-tenant", "red" }, { "X-Tenant", "green" } }, {} };
    cr_assert(EndpointProtocol::keyOf(request) == "k1");
    EndpointProtocol::setCaller(request, { WorkspaceName("blue"), 12 });
    cr_assert(request.fields == http1::Fields({ { "Host", "h" }, { "X-Tenant", "blue" }, { "X-Request-Priority", "9" } }));
    EndpointProtocol::setCaller(request, {});
    cr_assert(!request.fields.contains("X-Tenant"));
    http1::Request removing { "POST", "/b/x", { { "Host", "h" }, { "Connection", "X-Tenant, X-Request-Priority" } }, {} };
    EndpointProtocol::setCaller(removing, { WorkspaceName("blue"), 1 });
    removing.fields.eraseHopByHop();
    cr_assert(removing.fields.find("X-Tenant") == "blue" && removing.fields.find("X-Request-Priority") == "1", "the caller removes what is set for it");
    cr_assert(EndpointProtocol::namesCaller("authorization") && EndpointProtocol::namesCaller("x-tenant") && !EndpointProtocol::namesCaller("X-Model"));
    cr_assert(EndpointProtocol::keyOf({ "GET", "/", { { "Authorization", "Basic k1" } }, {} }).empty());
    cr_assert(EndpointProtocol::keyOf({ "GET", "/", {}, {} }).empty());
}

// Guards against a start time that is read from the software version of the endpoint.
Test(Registration, heartbeat_decoded_namesItsEndpoint)
{
    const auto decoded = decodeHeartbeat("i-1", beat().dump());
    cr_assert(decoded.has_value());
    cr_assert(decoded->record.startedMs == 1700000000000U);
    cr_assert(decoded->record.software == SoftwareVersion("v1"));
    cr_assert(decoded->record.address() == InstanceAddress({ "10.128.0.9", 8080 }));
    cr_assert(decoded->record.versionOf(batch::ModelName("m")) == 4);
    cr_assert(decoded->sequence == 4);
}

// Guards against endpoints that are used although their heartbeats have missing or invalid fields.
Test(Registration, malformedHeartbeat_decoded_isRefused)
{
    cr_assert(!decodeHeartbeat("i-1", "\xff\xfe"));
    cr_assert(!decodeHeartbeat("i-1", "[]"));
    for (const char* field : { "service", "address", "zone", "version", "slots", "state", "sequence" }) {
        json missing = beat();
        missing.erase(field);
        cr_assert(!decodeHeartbeat("i-1", missing.dump()));
        json wrong = beat();
        wrong[field] = json::array();
        cr_assert(!decodeHeartbeat("i-1", wrong.dump()));
    }
    json unknown = beat();
    unknown["state"] = "sleeping";
    cr_assert(!decodeHeartbeat("i-1", unknown.dump()));
}

// Guards against an entry of another writer that names an endpoint which cannot exist, or more slots than any has.
Test(Registration, heartbeatWithNumberOutOfRange_decoded_isRefused)
{
    const std::vector<std::pair<const char*, const char*>> oddFields {
        { "slots", "0" },
        { "slots", "65537" },
        { "slots", "4294967296" },
        { "slots", "1e3" },
        { "slots", "1e999" },
        { "slots", "-1" },
        { "sequence", "18446744073709551615" },
        { "sequence", "99999999999999999999999" },
        { "born", "18446744073709551615" },
        { "born", "-5" },
        { "born", "1.5" },
        { "born", "\"x\"" },
        { "address", "\"10.0.0.1:65536\"" },
        { "address", "\"10.0.0.1:0\"" },
        { "address", "\"10.0.0.1:-1\"" },
        { "address", "\"10.0.0.1\"" },
        { "address", "\"10.0.0.999:80\"" },
        { "address", "\"name:80\"" },
        { "models", "[{\"name\":\"m\",\"version\":18446744073709551615}]" },
        { "version", "\"\"" },
    };
    for (const auto& [field, value] : oddFields) {
        json odd = beat();
        odd.erase(field);
        std::string text = odd.dump();
        text.insert(1, "\"" + std::string(field) + "\":" + value + ",");
        cr_assert(!decodeHeartbeat("i-1", text), "%s of %s", field, value);
    }
}

// Guards against spot endpoints that are taken for lasting ones, against a notice that is lost, and against an endpoint that
// names a notice in each heartbeat and gets no work for it.
Test(Registration, spotAndNotice_decoded_ifDraining)
{
    json spot = beat();
    cr_assert(!decodeHeartbeat("i-1", spot.dump())->record.isSpot);
    spot["spot"] = true;
    spot["leaves_ms"] = 0;
    const auto serving = decodeHeartbeat("i-1", spot.dump());
    cr_assert(serving->record.isSpot && !serving->leavesMs && serving->record.state == registry::EndpointState::Ready);
    spot["state"] = "draining";
    spot["leaves_ms"] = 2300.7;
    cr_assert(decodeHeartbeat("i-1", spot.dump())->leavesMs == 2300U);
    spot["leaves_ms"] = 1e18;
    cr_assert(decodeHeartbeat("i-1", spot.dump())->leavesMs == 3'600'000U);
    spot.erase("leaves_ms");
    cr_assert(!decodeHeartbeat("i-1", spot.dump())->leavesMs);
    spot["spot"] = "yes";
    cr_assert(!decodeHeartbeat("i-1", spot.dump()));
    spot["spot"] = true;
    spot["leaves_ms"] = -1;
    cr_assert(!decodeHeartbeat("i-1", spot.dump()));
}

// Guards against orders that the platform cannot read, or assigns to the wrong holder or kind.
Test(DutyProtocol, scaleOrder_encoded_namesHolderGroupAndNumber)
{
    const scaling::EndpointGroup onDemand { ServiceName("huvo11a"), DataCentreName("fi-south-a"), scaling::EndpointKind::OnDemand };
    const auto request = DutyProtocol::scaleRequest({ onDemand, 6 }, { "store-2", 41 });
    cr_assert(request.method == "POST" && request.target == "/scale");
    cr_assert(request.fields.find("X-Duty-Holder") == "store-2");
    cr_assert(request.fields.find("X-Fencing-Token") == "41");
    cr_assert(json::parse(request.body) == json::parse(R"({"service":"huvo11a","zone":"fi-south-a","group-count":6})"));
    const auto spot = DutyProtocol::scaleRequest({ { onDemand.service, onDemand.dataCentre, scaling::EndpointKind::Spot }, 0 }, { "store-2", 41 });
    cr_assert(json::parse(spot.body) == json::parse(R"({"service":"huvo11a","zone":"fi-south-a","group-count":0,"spot":true})"));
}

// Guards against limits or prices that are lost, and against rules by which nothing sensible can be ordered.
Test(Configuration, scaling_decoded_hasItsLimitsAndPrices)
{
    json text = configuration();
    json& rules = text["services"][0]["scaling"];
    rules = json::parse(R"({"min-replicas":1,"max-replicas":22,"boot-s":4.0,"spot-price":0.18,"zone-prices":{"fi-south-a":1.0,"fi-south-b":0.8}})");
    const scaling::ScalingRules expected { 1, 22, std::chrono::seconds(4), 0.18, { { DataCentreName("fi-south-a"), 1.0 }, { DataCentreName("fi-south-b"), 0.8 } } };
    const auto table = decodeConfiguration(text.dump());
    cr_assert(table->findService(ServiceName("s"))->scaling == expected);
    cr_assert(!table->findService(ServiceName("t"))->scaling);
    for (const auto& [field, value] : std::vector<std::pair<const char*, const char*>> { { "min-replicas", "23" }, { "max-replicas", "-1" }, { "boot-s", "-1" }, { "spot-price", "-0.1" }, { "zone-prices", "{\"a\":\"x\"}" }, { "zone-prices", "[]" } }) {
        json odd = text;
        odd["services"][0]["scaling"][field] = json::parse(value);
        const auto refused = decodeConfiguration(odd.dump());
        cr_assert(!refused && refused.error().find("service s") != std::string::npos, "%s of %s", field, value);
    }
}

// Guards against an entry of another writer under which the process ends or takes all its memory.
Test(Registration, heartbeatNestedDeeply_decoded_isRefused)
{
    constexpr std::size_t levels = 8'000'000;
    const std::string text = beat().dump();
    const std::string arrays = "{\"x\":" + std::string(levels, '[') + std::string(levels, ']') + "," + text.substr(1);
    cr_assert(!decodeHeartbeat("i-1", arrays));
    cr_assert(!decodeHeartbeat("i-1", std::string(levels, '[')));
    std::string objects;
    for (std::size_t level = 0; level < levels / 8; ++level)
        objects += "{\"a\":";
    cr_assert(!decodeHeartbeat("i-1", objects));
    cr_assert(decodeHeartbeat("i-1", "{\"x\":\"[[[ \\\" ]\"," + text.substr(1)).has_value());
}

// Guards against items whose body or token counts are changed by the decoder.
Test(BatchFormat, job_decoded_hasItsItems)
{
    const auto table = decodeConfiguration(configuration().dump());
    const auto spec = decodeJob(batch::JobId("j"), *table->find("h", "/a/x"), WorkspaceName("w"), R"({"step":7,"model":"m","min-version":6,"group-count":12,"requests":[{"id":"i","path":"/a/3","headers":{"X-Token-Usage":"540,400","X-Length-Hint":"90"},"body":"q83vEjRWeJA=","group":"g"}]})");
    cr_assert(spec.has_value());
    cr_assert(spec->minVersion == 6);
    cr_assert(spec->workspace == WorkspaceName("w"));
    cr_assert(spec->isSingleVersion);
    cr_assert(spec->retentionMs == 40'000);
    const batch::ItemSpec& item = spec->items.front();
    cr_assert(item.body == std::string("\xab\xcd\xef\x12\x34\x56\x78\x90", 8));
    cr_assert(item.promptTokens == 540);
    cr_assert(item.expectedTokens == 90);
    cr_assert(!decodeJob(batch::JobId("j"), *table->find("h", "/a/x"), WorkspaceName("w"), R"({"requests":[{"id":"i","path":"/a/3","headers":{},"body":"?"}]})"));
    cr_assert(!decodeJob(batch::JobId("j"), *table->find("h", "/a/x"), WorkspaceName("w"), R"({"requests":[]})"));
}

std::vector<batch::PromptPart> decodedPrompt(const std::string& field)
{
    const auto table = decodeConfiguration(configuration().dump());
    const json body { { "requests", { { { "id", "i" }, { "path", "/a/3" }, { "headers", { { "x-prompt-prefix", field } } }, { "body", "" } } } } };
    const auto spec = decodeJob(batch::JobId("j"), *table->find("h", "/a/x"), WorkspaceName(), body.dump());
    cr_assert(spec.has_value(), "an item was refused for \"%s\"", field.c_str());
    return spec->items.front().prompt;
}

// Guards against parts of a prompt that are lost, and against items that are refused for a malformed part.
Test(BatchFormat, promptPrefix_decoded_hasItsValidParts)
{
    cr_assert(decodedPrompt("a1:400, FFffffffffffffff:30,7:1") == std::vector<batch::PromptPart>({ { 0xa1, 400 }, { 0xffff'ffff'ffff'ffff, 30 }, { 7, 1 } }));
    cr_assert(decodedPrompt("000000000000000100000000000000a1:5") == std::vector<batch::PromptPart>({ { 0xa1, 5 } }));
    cr_assert(decodedPrompt(",:,a,a:,:5,a:0,a:-1,a:5x,g:5,a:99999999999999999999,0xa:5, ,b:6") == std::vector<batch::PromptPart>({ { 0xb, 6 } }));
    cr_assert(decodedPrompt("").empty());
}

// Guards against an item with so many parts that the leader runs out of memory.
Test(BatchFormat, promptPrefixWithManyParts_decoded_isBounded)
{
    std::string field;
    for (int i = 0; i < 5000; ++i)
        field += "a:1,";
    cr_assert(decodedPrompt(field).size() == 32);
    cr_assert(decodedPrompt(std::string(70, 'a') + ":5").empty());
}

// Guards against results with a wrong position, state or list of versions.
Test(BatchFormat, results_encoded_countOnFromPosition)
{
    const json encoded = json::parse(encodeResults({ true, 40, { { batch::ItemId("i"), batch::ResultState::Completed, "one\ntwo", { 6, 7 }, {} }, { batch::ItemId("k"), batch::ResultState::Abandoned, "", {}, {} }, { batch::ItemId("l"), batch::ResultState::Completed, "t", { 7 }, "s" } } }, 12));
    cr_assert(encoded["total"] == 40);
    cr_assert(encoded["next-token"] == 15);
    cr_assert(encoded["results"][0] == json({ { "id", "i" }, { "state", "completed" }, { "output", "one\ntwo" }, { "versions", { 6, 7 } } }));
    cr_assert(encoded["results"][1]["state"] == "dead");
    cr_assert(encoded["results"][2]["score"] == "s");
}

// Guards against a request that a later endpoint at the same address executes, or that runs beyond the deadline of its
// caller.
Test(EndpointProtocol, request_forwarded_namesEndpointAndTimeLeft)
{
    const http1::Request request { "POST", "/b/x", { { "Host", "h" }, { "X-Attempt-Id", "9c" }, { "X-Deadline-Ms", "1500" }, { "Connection", "keep-alive" } }, "b" };
    const http1::Request forwarded = EndpointProtocol::forEndpoint(request, EndpointId("i-1"), std::chrono::milliseconds(900));
    cr_assert(forwarded.fields == http1::Fields({ { "Host", "h" }, { "X-Attempt-Id", "9c" }, { "X-Deadline-Ms", "900" }, { "X-Expect-Replica", "i-1" } }));
    cr_assert(EndpointProtocol::clientTimeout(request) == std::chrono::milliseconds(1500));
}

// Guards against a refusal that is treated as an answer, and against the response to another request.
Test(EndpointProtocol, responses_classified_byTheirMarks)
{
    using gateway::AnswerClass;
    cr_assert(EndpointProtocol::classify({ 200, {}, { { "X-Attempt-Id", "a" } }, {} }, "a") == AnswerClass::Answer);
    cr_assert(EndpointProtocol::classify({ 200, {}, { { "X-Attempt-Id", "b" } }, {} }, "a") == AnswerClass::OtherRequest);
    cr_assert(EndpointProtocol::classify({ 503, {}, { { "X-Not-Executed", "1" } }, {} }, "a") == AnswerClass::NotRun);
    cr_assert(EndpointProtocol::classify({ 503, {}, {}, {} }, "a") == AnswerClass::Answer);
    cr_assert(EndpointProtocol::classify({ 421, {}, {}, {} }, "a") == AnswerClass::WrongEndpoint);
    cr_assert(EndpointProtocol::loadOf({ 200, {}, { { "X-Replica-Load", "3,1,8,250" } }, {} }) == gateway::LoadReport({ 3, 1, 8, 2.5 }));
    cr_assert(EndpointProtocol::loadOf({ 200, {}, { { "X-Replica-Load", "3,0,8" } }, {} }) == gateway::LoadReport({ 3, 0, 8, 1 }));
    cr_assert(!EndpointProtocol::loadOf({ 200, {}, { { "X-Replica-Load", "?" } }, {} }));
}

// Guards against an order that an endpoint executes late, after a newer one.
Test(EndpointProtocol, order_encoded_namesHolderFenceAndExpectedOrders)
{
    const auto request = EndpointProtocol::loadRequest({ EndpointId("i-1"), batch::ModelName("m"), 4, "node", 9, 2 });
    const json body = json::parse(request.body);
    cr_assert(body["operation"] == "version" && body["version"] == 4 && body["holder"] == "node" && body["fence"] == 9 && body["expect"] == 2);
    cr_assert(request.fields.find("X-Expect-Replica") == "i-1");
    const auto status = EndpointProtocol::parseStatus(R"({"models":[{"name":"m","version":4}],"busy":true,"sequence":3})");
    cr_assert(status && status->isBusy && status->acceptedOrders == 3 && status->versions.at("m") == 4);
    cr_assert(!EndpointProtocol::parseStatus("{}"));
}

namespace {

/// A batch job of one item with these headers and this reward call.
tl::expected<batch::JobSpec, std::string> decodeScored(const json& reward, const json& headers = json::object())
{
    const auto table = decodeConfiguration(configuration().dump());
    json item { { "id", "i" }, { "path", "/a/3" }, { "headers", headers }, { "body", "" }, { "group", "g" }, { "scorer", reward } };
    return decodeJob(batch::JobId("j"), *table->find("h", "/a/x"), WorkspaceName("w"), json({ { "requests", { item } } }).dump());
}

}

// Guards against a job that is accepted although an item can never be scored.
Test(BatchFormat, malformedRewardCall_decoded_refusesTheJob)
{
    const json good { { "id", "r" }, { "host", "h" }, { "path", "/b/1" }, { "body", "q80=" } };
    const auto spec = decodeScored(good);
    cr_assert(spec && spec->items.front().reward == batch::RewardCall({ "r", "h", "/b/1", "\xab\xcd" }));
    for (const auto& [field, value] : std::vector<std::pair<const char*, json>> { { "id", "" }, { "id", 7 }, { "host", "" }, { "host", nullptr }, { "path", "b" }, { "path", "/b/ HTTP/1.1\r\nX: y" }, { "body", "?" }, { "body", 1 }, { "body", std::string(2U * 1024U * 1024U, 'A') } }) {
        json bad = good;
        bad[field] = value;
        cr_assert(!decodeScored(bad), "%s", field);
    }
    cr_assert(!decodeScored("text"));
    cr_assert(!decodeScored(nullptr)->items.front().needsScore());
}

// Guards against a request that is smuggled in a header field of an item.
Test(BatchFormat, headerWithLineBreak_decoded_refusesTheJob)
{
    cr_assert(decodeScored(nullptr, { { "X-A", "b c" } }));
    cr_assert(!decodeScored(nullptr, { { "X-A", "b\r\n\r\nPOST /x HTTP/1.1" } }));
    cr_assert(!decodeScored(nullptr, { { "X-A: b\r\nX", "c" } }));
}

// Guards against accepting a job whose reward calls match no route, or only the route of batch jobs.
Test(RouteTable, rewardCallWithoutPlainRoute_itemIsNamed)
{
    const auto table = decodeConfiguration(configuration().dump());
    const json call { { "id", "r" }, { "host", "h" }, { "path", "/b/1" }, { "body", "" } };
    cr_assert(!gateway::findUnroutableItem(*table, *decodeScored(call)));
    for (const char* path : { "/nowhere", "/a/1" }) {
        json other = call;
        other["path"] = path;
        cr_assert(gateway::findUnroutableItem(*table, *decodeScored(other)) == batch::ItemId("i"));
    }
}

// Guards against a limit that is ignored or misread, and against one that no number of requests can be derived from.
Test(EndpointProtocol, limit_read_ifItIsADecimalNumber)
{
    const auto limitOf = [](const char* text) { return EndpointProtocol::limitOf({ 200, {}, { { "Server-Limit", text } }, {} }); };
    cr_assert(limitOf("1.5") == 1.5 && limitOf("12") == 12 && limitOf("0") == 0);
    for (const char* text : { "", "x", "-1", "nan", "inf", "1e999", "2 per second" })
        cr_assert(!limitOf(text), "%s", text);
    cr_assert(!EndpointProtocol::limitOf({ 200, {}, {}, {} }));
}

// Guards against a draining announcement that is ignored, and against a score without a signature.
Test(EndpointProtocol, marksOfLeavingAndScore_read)
{
    cr_assert(EndpointProtocol::isLeaving({ 200, {}, { { "Server-Leaving", "1" } }, {} }));
    cr_assert(!EndpointProtocol::isLeaving({ 200, {}, {}, {} }));
    cr_assert(EndpointProtocol::scoreOf({ 200, {}, { { "X-Server-Stamp", "s" } }, {} }) == "s");
    cr_assert(EndpointProtocol::scoreOf({ 200, {}, {}, {} }).empty());
    const auto request = EndpointProtocol::rewardRequest({ "r", "h", "/b/1", "body" });
    cr_assert(request == http1::Request({ "POST", "/b/1", { { "Host", "h" }, { "X-Attempt-Id", "r" } }, "body" }));
}

// Guards against a take-up whose stream or last event is read wrongly, so that it continues elsewhere or in another place.
Test(EndpointProtocol, takeUp_decoded_namesItsStreamAndLastEvent)
{
    http1::Request request { "POST", "/x", { { "Last-Event-Id", "7" }, { "Resumes", "a1" } }, {} };
    cr_assert(EndpointProtocol::takeUpOf(request) == gateway::TakeUp({ registry::StreamId("a1"), 7 }));
    cr_assert(EndpointProtocol::takeUpOf({ "POST", "/x", {}, {} }) == gateway::TakeUp());
    for (const char* malformed : { "x", "-1", "1.5", "7 ", "18446744073709551616" }) {
        request.fields.set("Last-Event-Id", malformed);
        cr_assert(!EndpointProtocol::takeUpOf(request), "%s", malformed);
    }
}

// Guards against a report that names no holder, another window or other counts.
Test(DutyProtocol, usage_encoded_namesHolderFenceWindowAndCounts)
{
    const auto request = DutyProtocol::usageRequest({ 353'445'120, { { "blue", 412 }, { "red", 1 } } }, { "store-1", 12 });
    cr_assert(request.method == "POST" && request.target == "/usage");
    cr_assert(request.fields.find("X-Duty-Holder") == "store-1" && request.fields.find("X-Fencing-Token") == "12");
    cr_assert(json::parse(request.body) == json({ { "window-id", 353'445'120 }, { "counts", { { "blue", 412 }, { "red", 1 } } } }));
    cr_assert(json::parse(DutyProtocol::usageRequest({ 7, {} }, { "store-1", 12 }).body)["counts"] == json::object());
}

// Guards against bodies that are decoded although their many small values take a multiple of their size, and against
// ordinary text that counts as such.
Test(Json, parsedBytes_countsValuesOutsideTexts)
{
    cr_assert(platform::internal::parsedBytes(R"("[{,:\"[")") == 9);
    cr_assert(platform::internal::parsedBytes("[[],[]]") == 7 + 4 * 64);
    cr_assert(platform::internal::parsedBytes(R"({"a":1})") == 7 + 2 * 64);
}
