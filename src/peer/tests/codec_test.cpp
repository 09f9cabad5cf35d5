#include "message_generator.h"
#include "peer/cbor_document.h"
#include "peer/peer_codec.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <random>

using namespace Tanagertally;
using namespace Tanagertally::PeerTests;

namespace {

using Json = nlohmann::json;

constexpr std::size_t MessageTypes = std::variant_size_v<PeerMessage>;

std::string decodeErrorField(const Json &document)
{
    const std::string bytes = writeCbor(document);
    const auto result = decodePeerMessage(asBytes(bytes));
    return result.has_error() ? result.error().field : "no error";
}

ForwardedSubmit makeSubmit(std::size_t tasks)
{
    ForwardedSubmit submit{ForwardId(7), TeamName("riyad"), JobKey("casablanca-1/42"), {}};
    for (std::size_t index = 0; index < tasks; ++index) {
        submit.job.tasks.push_back(
            {KindName("lookup"), std::make_shared<const std::string>(R"({"gym":12,"trainer":"t-881","slot":"2026-12-03T18:00"})"), {}});
    }
    return submit;
}

/** Checks that decoding arbitrary bytes returns an error that names a field, or a message that can be encoded and decoded again. */
void decodeUntrusted(const std::string &bytes)
{
    const auto result = decodePeerMessage(asBytes(bytes));
    if (result.has_error()) {
        BOOST_TEST_REQUIRE(!result.error().field.empty());
        return;
    }
    const std::string reencoded = encodePeerMessage(result.value());
    BOOST_TEST_REQUIRE(decodePeerMessage(asBytes(reencoded)).has_value());
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerCodec)

BOOST_AUTO_TEST_CASE(EveryMessageTypeRoundTrips)
{
    for (std::size_t type = 0; type < MessageTypes; ++type) {
        const bool holds = rc::check("round trip of message type " + std::to_string(type), [type] {
            const auto message = FieldGenerator::makeAlternative<PeerMessage>(type);
            const std::string bytes = encodePeerMessage(message);
            const auto decoded = decodePeerMessage(asBytes(bytes));
            RC_ASSERT(decoded.has_value());
            RC_ASSERT(toString(decoded.value()) == toString(message));
        });
        BOOST_TEST(holds);
    }
}

BOOST_AUTO_TEST_CASE(TheWireFormatIsStable)
{
    const std::string bytes = encodePeerMessage(SlotGrant{3, std::chrono::seconds(1), {{WorkerName("w1"), 8}}});
    const auto document = readCborArray(asBytes(bytes));
    BOOST_TEST_REQUIRE(document.has_value());
    BOOST_TEST(document.value().dump() == R"([9,3,1000000000,[["w1",8]]])");
}

BOOST_AUTO_TEST_CASE(ErrorsNameTheField)
{
    BOOST_TEST(decodeErrorField(Json::array({99})) == "type");
    BOOST_TEST(decodeErrorField(Json::array({"x"})) == "type");
    BOOST_TEST(decodeErrorField(Json::array()) == "type");
    BOOST_TEST(decodeErrorField(Json::array({8})) == "slots");
    BOOST_TEST(decodeErrorField(Json::array({8, -1})) == "slots");
    BOOST_TEST(decodeErrorField(Json::array({8, "4"})) == "slots");
    BOOST_TEST(decodeErrorField(Json::array({8, 1ULL << 32})) == "slots");
    BOOST_TEST(decodeErrorField(Json::parse(R"([2, 1, "t", "k", [[["lookup", null, 0]], 0, 0]])")) == "job.tasks[0].payload");
    BOOST_TEST(decodeErrorField(Json::parse(R"([2, 1, "t", "k", [[["lookup", "{}", 0]], 0, 2]])")) == "job.mode");
    BOOST_TEST(decodeErrorField(Json::parse(R"([2, 1, "t", "k", [[["lookup", "{}", 0], ["lookup", "{}"]], 0, 1]])"))
               == "job.tasks[1].declaredRunTime");
    BOOST_TEST(decodeErrorField(Json::parse(R"([2, 1, "t", "k", [[], 0, 1]])")) == "job.tasks");
    BOOST_TEST(decodeErrorField(Json::parse(R"([5, 1, [4, [15, "", ""], 0, null]])")) == "reply.error.code");
    BOOST_TEST(decodeErrorField(Json::parse(R"([5, 1, [5]])")) == "reply.type");
    BOOST_TEST(decodeErrorField(Json::parse(R"([9, 1, 9223372036854775808, []])")) == "validFor");
    BOOST_TEST(decodeErrorField(Json::parse(R"([8, {}])")) == "message");
    const auto tooMany = encodePeerMessage(makeSubmit(1001));
    BOOST_TEST(decodePeerMessage(asBytes(tooMany)).error().field == "job.tasks");
}

BOOST_AUTO_TEST_CASE(ExtraFieldsOfALaterReleaseAreIgnored)
{
    BOOST_TEST(decodeErrorField(Json::parse(R"([8, 4, "later", [1, 2]])")) == "no error");
    BOOST_TEST(decodeErrorField(Json::parse(R"([9, 1, 0, [["w1", 8, "later"]], null])")) == "no error");
}

BOOST_AUTO_TEST_CASE(DeepAndHugeDocumentsAreRefused)
{
    decodeUntrusted(std::string(4 << 20, '\x81'));
    decodeUntrusted(std::string(4 << 20, '\x9f'));
    decodeUntrusted(std::string("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", 9));
    decodeUntrusted(std::string("\x7b\x7f\xff\xff\xff\xff\xff\xff\xff", 9));
    std::string manyValues = "\x9f";
    manyValues.append(1 << 20, '\x01').push_back('\xff');
    BOOST_TEST(decodePeerMessage(asBytes(manyValues)).error().message == "unreadable message: too many values");
}

BOOST_AUTO_TEST_CASE(RandomBytesNeverCrashTheDecoder)
{
    constexpr int Inputs = 10'000;
    std::mt19937_64 engine(20261203);
    for (int input = 0; input < Inputs; ++input) {
        std::string bytes(engine() % 200, '\0');
        for (char &byte : bytes) {
            byte = static_cast<char>(engine());
        }
        if (!bytes.empty() && input % 2 == 0) {
            bytes[0] = static_cast<char>(0x82 + engine() % 8);
        }
        decodeUntrusted(bytes);
    }
}

BOOST_AUTO_TEST_CASE(MutatedMessagesNeverCrashTheDecoder)
{
    constexpr int Inputs = 10'000;
    std::mt19937_64 engine(42);
    std::vector<std::string> corpus;
    for (std::size_t type = 0; type < MessageTypes; ++type) {
        const auto generator = rc::gen::exec([type] { return encodePeerMessage(FieldGenerator::makeAlternative<PeerMessage>(type)); });
        for (int copy = 0; copy < 8; ++copy) {
            corpus.push_back(generator(rc::Random(type * 100 + static_cast<std::size_t>(copy)), 20).value());
        }
    }
    for (int input = 0; input < Inputs; ++input) {
        std::string bytes = corpus[engine() % corpus.size()];
        for (std::uint64_t change = engine() % 4 + 1; change > 0 && !bytes.empty(); --change) {
            const std::size_t place = engine() % bytes.size();
            switch (engine() % 3) {
            case 0:
                bytes[place] = static_cast<char>(engine());
                break;
            case 1:
                bytes.erase(place, engine() % 4 + 1);
                break;
            default:
                bytes.insert(place, 1, static_cast<char>(engine()));
            }
        }
        decodeUntrusted(bytes);
    }
}

BOOST_AUTO_TEST_CASE(AJobOfAThousandTasksEncodesInUnderAMillisecond)
{
    constexpr int Rounds = 50;
    const PeerMessage message = makeSubmit(1000);
    auto bestEncoding = std::chrono::nanoseconds::max();
    auto bestDecoding = std::chrono::nanoseconds::max();
    for (int round = 0; round < Rounds; ++round) {
        const auto start = std::chrono::steady_clock::now();
        const std::string bytes = encodePeerMessage(message);
        const auto middle = std::chrono::steady_clock::now();
        const auto decoded = decodePeerMessage(asBytes(bytes));
        const auto end = std::chrono::steady_clock::now();
        BOOST_TEST_REQUIRE(decoded.has_value());
        bestEncoding = std::min<std::chrono::nanoseconds>(bestEncoding, middle - start);
        bestDecoding = std::min<std::chrono::nanoseconds>(bestDecoding, end - middle);
    }
    BOOST_TEST_MESSAGE("1,000 tasks: encode " << bestEncoding.count() / 1000 << " us, decode " << bestDecoding.count() / 1000 << " us");
#ifdef NDEBUG
    BOOST_TEST((bestEncoding < std::chrono::milliseconds(1)));
#endif
}

BOOST_AUTO_TEST_SUITE_END()
