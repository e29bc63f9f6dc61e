#include "answer_checker.hpp"
#include "azurepaddle/core/digest.hpp"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace azurepaddle;
using namespace azurepaddle::standin;

namespace {

const std::string prompt = "prompt";

std::string event(std::uint64_t position, std::uint64_t version, const std::string& id = "r")
{
    const std::string text = tokenText(sha256Hex(prompt), 0, version, position);
    return "data: " + nlohmann::json { { "request_id", id }, { "text", text }, { "tokens", 1 }, { "weight_version", version } }.dump() + "\n\n";
}

const std::string end = "data: {\"request_id\":\"r\",\"text\":\"\",\"finish_reason\":\"length\"}\n\ndata: [DONE]\n\n";

Answer read(const std::string& stream, std::size_t piece)
{
    StreamReader reader;
    for (std::size_t at = 0; at < stream.size(); at += piece)
        reader.feed(std::string_view(stream).substr(at, piece));
    return reader.answer();
}

}

// Guards against a reader that loses events at the border of two reads.
Test(StreamReader, streamInPieces_isRead)
{
    for (std::size_t piece = 1; piece < 100; ++piece)
        cr_assert(!findAnswerFault(read(event(0, 1) + event(1, 2) + end, piece), prompt, 2, {}));
}

// Guards against callers that accept shortened, mixed, mislabelled or foreign answers.
Test(AnswerFault, faultyStreams_areFound)
{
    cr_assert(findAnswerFault(read(event(0, 1) + event(1, 1), 64), prompt, 2, {}));
    cr_assert(findAnswerFault(read(event(0, 1) + end, 64), prompt, 2, {}));
    cr_assert(findAnswerFault(read(event(0, 1) + event(0, 1) + end, 64), prompt, 2, {}));
    cr_assert(findAnswerFault(read(event(0, 1) + event(1, 1, "other") + end, 64), prompt, 2, {}));
    cr_assert(findAnswerFault(read(event(0, 1) + event(1, 1) + end, 64), "other prompt", 2, {}));
}

// Guards against an unlabelled answer that passes with a version that was not named.
Test(AnswerFault, unlabelledTokens_mustBeOfNamedVersions)
{
    const std::string text = tokenText(sha256Hex(prompt), 0, 3, 0);
    const auto answer = readWhole(nlohmann::json { { "id", "r" }, { "choices", { { { "text", text }, { "finish_reason", "length" } } } } }.dump());
    cr_assert(answer.has_value());
    cr_assert(!findAnswerFault(*answer, prompt, 1, { 2, 3 }));
    cr_assert(findAnswerFault(*answer, prompt, 1, { 2 }));
}
