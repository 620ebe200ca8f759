#include <hornbeamweir/relay/trait_policy.hpp>

#include <catch2/catch.hpp>

using namespace hornbeamweir;
using namespace hornbeamweir::relay;
using std::chrono::milliseconds;

namespace
{

relay_request usual_request()
{
    relay_request out;
    out.id = request_id{"a1"};
    out.method = "POST";
    out.target = "/x/1?q=2";
    out.host = "h";
    out.body = "body";
    return out;
}

std::string hash_of(relay_request const& request, std::string const& customer)
{
    request_traits const traits = traits_of(request, customer_id{customer});
    REQUIRE_FALSE(traits.empty());
    REQUIRE(traits.back().kind == trait_kind::whole_request);
    return traits.back().value;
}

} // namespace

TEST_CASE("a request that its caller repeats is recognized")
{
    std::string const usual = hash_of(usual_request(), "school");
    relay_request again = usual_request();
    again.id = request_id{"a2"};
    again.caller_timeout = milliseconds{700};
    again.last_event = 4;
    again.headers = {{"Date", "today"}};
    CHECK(hash_of(again, "school") == usual);
    CHECK(hash_of(usual_request(), "club") != usual);
    struct row
    {
        std::string relay_request::*field;
        std::string value;
    };
    for (row const& it :
         {row{&relay_request::method, "GET"},
          row{&relay_request::target, "/x/1"},
          row{&relay_request::host, "g"},
          row{&relay_request::body, "bod"}})
    {
        CAPTURE(it.value);
        relay_request other = usual_request();
        other.*it.field = it.value;
        CHECK(hash_of(other, "school") != usual);
    }
}

TEST_CASE("fields of a request are not confused with each other")
{
    relay_request one = usual_request();
    one.host = "ab";
    one.target = "/c";
    relay_request two = usual_request();
    two.host = "a";
    two.target = "b/c";
    CHECK(hash_of(one, "school") != hash_of(two, "school"));
}

TEST_CASE("a hash tells nothing of the body but whether it is the same")
{
    relay_request request = usual_request();
    request.body = std::string(100'000, 'x');
    CHECK(hash_of(request, "school").size() == 16);
}

TEST_CASE("suspects depend on how far the answer had come")
{
    request_trait const part{trait_kind::prompt_part, "p"};
    request_trait const whole{trait_kind::whole_request, "w"};
    struct row
    {
        answer_progress progress;
        milliseconds since_head;
        request_traits suspects;
    };
    for (row const& it :
         {row{answer_progress::none, milliseconds{0}, {whole}},
          row{answer_progress::head, milliseconds{40}, {part, whole}},
          row{answer_progress::head, milliseconds{900}, {whole}},
          row{answer_progress::data, milliseconds{40}, {whole}},
          row{answer_progress::complete, milliseconds{40}, {}}})
    {
        CAPTURE(name_of(it.progress), it.since_head.count());
        CHECK(
            suspects_of({part, whole}, it.progress, it.since_head) ==
            it.suspects);
    }
}
