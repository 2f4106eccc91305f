#include "fuzz/require.h"
#include "model/encoding/base64.h"
#include "sharedstate/claims/claimrecord.h"
#include "sharedstate/lease/leaserow.h"
#include "sharedstate/publication/publicationrow.h"
#include "sharedstate/store/rowvalue.h"

#include <boost/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

using namespace chervilmount::sharedstate;
using chervilmount::fuzz::require;

namespace {

void checkEncodings(const std::string &text)
{
    require(chervilmount::model::fromBase64(chervilmount::model::toBase64(text)) == text);
    require(chervilmount::model::fromBase64(text).size() <= text.size() / 4 * 3);
    const std::uint64_t number = fromHex(text);
    require(fromHex(toHex(number)) == number);
}

/** A row that was read must be the same after it is written and read again. */
template<typename Row>
void checkRow(const Row &row, Row (*parse)(const boost::json::object &))
{
    const boost::json::object value = toValue(row);
    const boost::json::value read = boost::json::parse(boost::json::serialize(value));
    // Compares texts: unsigned numbers are read back as signed ones.
    require(boost::json::serialize(toValue(parse(read.as_object())))
            == boost::json::serialize(value));
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    checkEncodings(text);
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(text, error);
    if (error || !value.is_object())
        return 0;
    checkRow(parseClaimRecord(value.as_object()), &parseClaimRecord);
    checkRow(parseLeaseRow(value.as_object()), &parseLeaseRow);
    checkRow(parsePublicationRow(value.as_object()), &parsePublicationRow);
    return 0;
}
