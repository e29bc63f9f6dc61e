#pragma once

namespace azurepaddle::codec {

enum class CodecErrorCode : unsigned char;
struct Limits;

}
