# The identity of the sources that a program is built from: a digest of the names and contents of
# all files below src, platform and cmake, and of CMakeLists.txt.
#
# As a script: cmake -D SOURCE_DIR=DIR [-D OUTPUT=FILE] -P sourceid.cmake
# prints the identity, or writes a C++ file that defines it if it has changed.

# Sets `manifest` to one line "DIGEST PATH" for each source file, and `id` to their digest.
function(kelptally_list_sources source_dir manifest id)
    file(GLOB_RECURSE paths LIST_DIRECTORIES false RELATIVE ${source_dir}
        ${source_dir}/CMakeLists.txt ${source_dir}/src/* ${source_dir}/platform/* ${source_dir}/cmake/*)
    list(SORT paths)
    set(lines "")
    foreach(path IN LISTS paths)
        file(SHA256 ${source_dir}/${path} digest)
        string(APPEND lines "${digest} ${path}\n")
    endforeach()
    string(SHA256 digest "${lines}")
    string(SUBSTRING ${digest} 0 12 digest)
    set(${manifest} "${lines}" PARENT_SCOPE)
    set(${id} ${digest} PARENT_SCOPE)
endfunction()

if(CMAKE_SCRIPT_MODE_FILE STREQUAL CMAKE_CURRENT_LIST_FILE)
    file(REAL_PATH ${SOURCE_DIR} source_dir)
    kelptally_list_sources(${source_dir} manifest id)
    if(NOT OUTPUT)
        execute_process(COMMAND ${CMAKE_COMMAND} -E echo ${id})
        return()
    endif()
    # Leaves the file as it is if the identity is the same.
    file(CONFIGURE OUTPUT ${OUTPUT} @ONLY CONTENT [[
#include "core/sourceid.h"

namespace kelptally {

const std::string_view sourceId = "@id@";

} // namespace kelptally
]])
endif()
