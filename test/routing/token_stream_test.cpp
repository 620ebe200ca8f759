#include <hornbeamweir/entry/token_stream.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using hornbeamweir::token_stream;

TEST_CASE("complete events are returned and their tokens counted")
{
    struct row
    {
        char const* bytes;
        char const* complete;
        std::uint32_t tokens;
        bool done;
    };

    std::vector<row> const rows{
        {"data: a\n\n", "data: a\n\n", 1, false},
        {"data: a\n", "", 0, false},
        {"data: a\n\ndata: b", "data: a\n\n", 1, false},
        {"data: a\r\n\r\n", "data: a\r\n\r", 1, false},
        {"data: a\r\rdata: b\r\r", "data: a\r\rdata: b\r\r", 2, false},
        {"data: a\ndata: b\n\n", "data: a\ndata: b\n\n", 1, false},
        {": ping\n\n", ": ping\n\n", 0, false},
        {"event: note\n\n", "event: note\n\n", 0, false},
        {"data: [DONE]\n\n", "data: [DONE]\n\n", 0, true},
        {"data:[DONE]\n\n", "data:[DONE]\n\n", 0, true},
        {"data: [DONE]\n", "", 0, false},
    };
    for (row const& it : rows)
    {
        CAPTURE(it.bytes);
        token_stream stream;
        CHECK(stream.append(it.bytes) == it.complete);
        CHECK(stream.tokens() == it.tokens);
        CHECK(stream.done() == it.done);
    }
}

TEST_CASE("the split of the input into chunks does not affect the result")
{
    rc::prop(
        "the same events are returned for any split",
        []
        {
            std::string const text = *rc::gen::container<std::string>(
                rc::gen::element('\n', '\r', 'd', ':', ' ', 'x'));
            token_stream unsplit;
            std::string const expected = unsplit.append(text);
            token_stream split;
            std::string returned;
            std::size_t position = 0;
            while (position < text.size())
            {
                std::size_t const n = *rc::gen::inRange<std::size_t>(
                    1, std::min<std::size_t>(text.size() - position, 8) + 1);
                returned +=
                    split.append(std::string_view{text}.substr(position, n));
                position += n;
            }
            RC_ASSERT(returned == expected);
            RC_ASSERT(split.tokens() == unsplit.tokens());
            RC_ASSERT(returned + split.release_tail() == text);
        });
}
