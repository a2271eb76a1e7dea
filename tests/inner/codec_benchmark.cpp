#define CATCH_CONFIG_MAIN
#define CATCH_CONFIG_ENABLE_BENCHMARKING
#include "inner/codec.h"
#include "samplemessages.h"

#include <catch2/catch.hpp>

using namespace kelptally;
using namespace kelptally::inner;

// Encoding and decoding times; see docs/design/inner.md.
TEST_CASE("Codec", "[benchmark]")
{
    Execute execute = sampleExecute();
    execute.parameters = {Value("4711"), Value("125000")};
    ExecuteResult result;
    result.requestId = execute.requestId;
    result.executed = Executed::Yes;
    result.server = "offers-2";
    result.age = std::chrono::milliseconds(20);
    result.position = Position {5, 6};
    result.rows.columns = {"boat", "price", "place"};
    result.rows.values.assign(3, {Value("Zodiac"), Value("1200"), Value("Port Louis, quay 4")});
    ExecuteResult large = result;
    large.rows.values.assign(1000, result.rows.values[0]);
    const std::string executeBytes = encode(execute).value();
    const std::string resultBytes = encode(result).value();
    const std::string largeBytes = encode(large).value();
    WARN("bytes: Execute " << executeBytes.size() << ", ExecuteResult " << resultBytes.size()
                           << ", with 1000 rows " << largeBytes.size());
    BENCHMARK("encode Execute")
    {
        return encode(execute);
    };
    BENCHMARK("decode Execute")
    {
        return decode(executeBytes);
    };
    BENCHMARK("encode ExecuteResult")
    {
        return encode(result);
    };
    BENCHMARK("decode ExecuteResult")
    {
        return decode(resultBytes);
    };
    BENCHMARK("encode ExecuteResult, 1000 rows")
    {
        return encode(large);
    };
    BENCHMARK("decode ExecuteResult, 1000 rows")
    {
        return decode(largeBytes);
    };
}
