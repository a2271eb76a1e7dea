# A build folder that is kept must not give the program of earlier sources, whatever their times are.

set(sample ${FOLDER}/source)
set(build ${FOLDER}/build)
set(program ${build}/bin/sample)
file(REMOVE_RECURSE ${FOLDER})

function(run)
    execute_process(COMMAND ${ARGV} RESULT_VARIABLE status OUTPUT_VARIABLE output ERROR_VARIABLE output)
    if(NOT status EQUAL 0)
        message(FATAL_ERROR "${ARGV}: ${status}\n${output}")
    endif()
endfunction()

# Writes the source of the part, which contributes the number to the program's exit status.
function(write_part part number)
    file(WRITE ${sample}/src/${part}.c "int ${part}(void) { return ${number}; }\n")
endfunction()

function(age_sources)
    run(touch -d 2000-01-01 ${sample}/src/a.c ${sample}/src/b.c ${sample}/src/main.c)
endfunction()

function(build_sample)
    run(${CMAKE_COMMAND} -G "Unix Makefiles" -S ${sample} -B ${build})
    run(${CMAKE_COMMAND} --build ${build})
endfunction()

function(check_status expected)
    execute_process(COMMAND ${program} RESULT_VARIABLE status)
    if(NOT status EQUAL ${expected})
        message(FATAL_ERROR "the program returns ${status} instead of ${expected}")
    endif()
endfunction()

# Whether the object of the part is the same as at the last call for it.
function(check_object part is_kept)
    file(GLOB_RECURSE object ${build}/*${part}.c.o)
    file(TIMESTAMP ${object} time "%s.%f")
    get_property(last GLOBAL PROPERTY time_${part})
    set_property(GLOBAL PROPERTY time_${part} ${time})
    if(last AND (is_kept AND NOT time STREQUAL last OR NOT is_kept AND time STREQUAL last))
        message(FATAL_ERROR "the object of ${part}: ${time}, before ${last}")
    endif()
endfunction()

file(WRITE ${sample}/CMakeLists.txt "
cmake_minimum_required(VERSION 3.25)
project(sample LANGUAGES C)
include(${SOURCE_DIR}/cmake/sourceid.cmake)
kelptally_discard_stale_objects(\${PROJECT_SOURCE_DIR} \${PROJECT_BINARY_DIR} ${program})
add_executable(sample src/main.c src/a.c src/b.c)
set_target_properties(sample PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${build}/bin)
")
file(WRITE ${sample}/src/main.c "int a(void), b(void); int main(void) { return a() + b(); }\n")

# 1. The first build.
write_part(a 1)
write_part(b 10)
age_sources()
build_sample()
check_status(11)
check_object(a TRUE)
check_object(b TRUE)

# 2. A changed source whose time is older than the objects.
write_part(a 2)
age_sources()
build_sample()
check_status(12)

# 3. The same with a folder that has no record of its sources.
write_part(a 3)
age_sources()
file(REMOVE ${build}/sources.txt)
build_sample()
check_status(13)
check_object(a FALSE)
check_object(b FALSE)

# 4. Objects are kept if nothing has changed, and if only newer sources have.
build_sample()
check_object(a TRUE)
write_part(a 4)
build_sample()
check_status(14)
check_object(a FALSE)
check_object(b TRUE)
